import type {StoredResponse} from './stored-response.js';
import type {Outcome} from './outcome.js';

/** What an instance remembers of an idempotency key. */
export type KeyReport = {
	readonly claimId: string;
	/** Instance that is running or ran the request. */
	readonly holder: string;
	/** Undefined while the request is in flight. */
	readonly outcome: Outcome | undefined;
	/** The response, if it was small enough to store. */
	readonly answer: StoredResponse | undefined;
};
