import type {KeyClaim} from '../../common/key-claim.js';
import type {KeyReport} from '../../common/key-report.js';
import type {KeySettlement} from '../../common/key-settlement.js';
import type {KeyVerdict} from '../../common/key-verdict.js';

/** Handlers of the procedures by which instances store idempotency keys for each other. */
export type KeyHandlers = {
	/** Grants or refuses a claim of an idempotency key. */
	acceptClaim(claim: KeyClaim): KeyVerdict;
	/** Records the outcome of a claim's request. */
	acceptSettlement(settlement: KeySettlement): void;
	/** Waits until the request of a key has ended; resolves with undefined if the key is not stored. */
	waitForKey(service: string, key: string, waitMs: number): Promise<KeyReport | undefined>;
};
