import type {KeyClaim} from '../../common/key-claim.js';
import type {KeyReport} from '../../common/key-report.js';
import type {KeySettlement} from '../../common/key-settlement.js';
import type {KeyVerdict} from '../../common/key-verdict.js';

/** What instances do for each other to remember idempotency keys. */
export type KeyHandlers = {
	/** Decides on a claim of an idempotency key. */
	acceptClaim(claim: KeyClaim): KeyVerdict;
	/** Takes the end of a claim. */
	acceptSettlement(settlement: KeySettlement): void;
	/** Waits until the request of a key has ended; undefined when the key is not remembered. */
	waitForKey(service: string, key: string, waitMs: number): Promise<KeyReport | undefined>;
};
