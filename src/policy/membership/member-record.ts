import type {Instance} from '../../common/instance.js';
import type {MemberState} from '../../common/member-state.js';

/** Gossip record of one instance. */
export type MemberRecord = {
	readonly instance: Instance;
	/** Start time of the process in ms; distinguishes successive processes with the same id. 0 for an instance that is known only from the instance list. */
	readonly incarnation: number;
	/** Incremented by the instance itself to refute a suspicion or to publish a change of its record. */
	readonly sequence: number;
	readonly state: MemberState;
	/** False while the instance cannot read the configuration service. */
	readonly canRead: boolean;
};
