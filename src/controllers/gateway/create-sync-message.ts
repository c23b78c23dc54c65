import type {GatewayMember} from '../../common/gateway/gateway-member.js';
import type {SyncMessage} from '../../common/gateway/sync-message.js';
import type {MemberTable} from '../../policy/gateway/member-table.js';
import type {PeerLink} from './peer-link.js';
import type {SiteView} from './site-view.js';

type MessageOptions = {
	readonly table: MemberTable;
	readonly view: SiteView;
	/** This instance. */
	readonly self: Pick<GatewayMember, 'id' | 'incarnation'>;
	/** Id of the receiver; undefined when only its address is known. */
	readonly peerId: string | undefined;
	/** State of the exchanges with the receiver; undefined before the first one. */
	readonly link: PeerLink | undefined;
	/** Age of the receiver's list of targets, in ms. */
	readonly peerAgeMs: number;
};

/** Creates a message with what this instance knows and the receiver lacks, as far as the receiver's last message shows. */
export const createSyncMessage = ({table, view, self, peerId, link, peerAgeMs}: MessageOptions): SyncMessage => {
	const current = table.get(self.id);
	const isPeerKnown = link !== undefined && link.lastMessageAt > Number.NEGATIVE_INFINITY;
	// A peer from which no message has come may have all records already; its response shows what it lacks.
	const members = isPeerKnown ? table.listChanges(link.acknowledgedNumber, peerId ?? '') : (current === undefined ? [] : [current]);
	const leaving = view.leavingTargets;
	const sendsTargets = isPeerKnown && view.hasNewerTargets(link.view);
	const evacuations = isPeerKnown ? view.operator.createEvacuationsFor(link.view) : undefined;
	return {
		from: self.id,
		incarnation: current?.incarnation ?? self.incarnation,
		changeNumber: isPeerKnown ? table.changeNumber : 0,
		takenNumber: link?.takenNumber ?? 0,
		digest: table.digest,
		members,
		view: isPeerKnown ? view.createVersionFor({...link.view, targetsAgeMs: peerAgeMs}) : view.version,
		...(leaving.length > 0 && {leaving}),
		...(evacuations !== undefined && {evacuations}),
		...(sendsTargets && {targets: view.collectTargetChanges(link.view)}),
	};
};
