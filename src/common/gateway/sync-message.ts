import type {GatewayMember} from './gateway-member.js';
import type {TargetChanges} from './target-changes.js';
import type {ViewVersion} from './view-version.js';

/** What two instances tell each other: versions always, values only where the receiver is believed to lack them. */
export type SyncMessage = {
	readonly from: string;
	/** Incarnation of the sender; what was known of an earlier one no longer holds. */
	readonly incarnation: number;
	/** Number of the sender's last change of a member's record. */
	readonly changeNumber: number;
	/** Number of the receiver's last change that the sender has taken; 0 when it has taken none. */
	readonly takenNumber: number;
	/** Hash over the records of all running instances. */
	readonly digest: number;
	readonly members: readonly GatewayMember[];
	readonly view: ViewVersion;
	readonly targets?: TargetChanges;
};
