import type {Instance} from './instance.js';
import type {MemberState} from './member-state.js';

/** An entry instance and its state as seen by this instance. */
export type Member = {
	readonly instance: Instance;
	/** Distinguishes successive processes with the same id and address; a higher incarnation is newer. */
	readonly incarnation: number;
	readonly state: MemberState;
};
