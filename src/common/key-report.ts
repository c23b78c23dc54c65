import type {KeyAnswer} from './key-answer.js';
import type {Outcome} from './outcome.js';

/** What is remembered of a key. */
export type KeyReport = {
	readonly claimId: string;
	/** Instance that runs, or ran, the request. */
	readonly holder: string;
	/** Undefined while the request is in flight. */
	readonly outcome: Outcome | undefined;
	/** The answer where it was small enough to keep. */
	readonly answer: KeyAnswer | undefined;
};
