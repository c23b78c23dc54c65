import type {StoredResponse} from './stored-response.js';
import type {Outcome} from './outcome.js';

/** Reports to an owner of an idempotency key how the request of a claim ended. */
export type KeySettlement = {
	readonly service: string;
	readonly key: string;
	readonly claimId: string;
	readonly outcome: Outcome;
	readonly answer: StoredResponse | undefined;
};
