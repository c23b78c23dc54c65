import type {Instance} from '../../common/instance.js';
import type {MemberState} from '../../common/member-state.js';

/** What instances tell each other of one instance. */
export type MemberRecord = {
	readonly instance: Instance;
	/** Start time of the process in ms; distinguishes lives of the same id. 0 for an instance known from the list alone. */
	readonly incarnation: number;
	/** Raised by the instance itself to refute a suspicion or to state something new of itself. */
	readonly sequence: number;
	readonly state: MemberState;
	/** False while the instance cannot read the configuration service. */
	readonly canRead: boolean;
};
