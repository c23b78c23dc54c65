import type {EvacuationSet} from './evacuation-set.js';
import type {GatewayMember} from './gateway-member.js';
import type {TargetChanges} from './target-changes.js';
import type {TargetIncarnation} from './target-incarnation.js';
import type {ViewVersion} from './view-version.js';

/** State exchanged between two instances: versions always, values only where the receiver is believed to lack them. */
export type SyncMessage = {
	readonly from: string;
	/** Incarnation of the sender; state received from an earlier one is void. */
	readonly incarnation: number;
	/** Sequence number of the last change in the sender's member table. */
	readonly changeNumber: number;
	/** Sequence number of the receiver's last change that the sender has applied; 0 when it has applied none. */
	readonly takenNumber: number;
	/** Hash over the records of all running instances. */
	readonly digest: number;
	readonly members: readonly GatewayMember[];
	readonly view: ViewVersion;
	readonly targets?: TargetChanges;
	/** Listed targets that have announced in a response that they are leaving. */
	readonly leaving?: readonly TargetIncarnation[];
	readonly evacuations?: EvacuationSet;
};
