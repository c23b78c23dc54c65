import type {Instance} from './instance.js';
import type {MemberState} from './member-state.js';

/** An entry instance with what this instance believes of it. */
export type Member = {
	readonly instance: Instance;
	/** Distinguishes lives of the same id and address; a higher one is newer. */
	readonly incarnation: number;
	readonly state: MemberState;
};
