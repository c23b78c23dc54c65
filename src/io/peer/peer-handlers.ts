import type {KeyClaim} from '../../common/key-claim.js';
import type {KeyReport} from '../../common/key-report.js';
import type {KeySettlement} from '../../common/key-settlement.js';
import type {KeyVerdict} from '../../common/key-verdict.js';
import type {Member} from '../../common/member.js';
import type {LoadHandlers} from './load-handlers.js';

/** What the controllers offer to peers; each controller adds its own part. */
export type PeerHandlers = {
	/** Answers who this instance is. */
	readonly describeSelf: () => Member;
	readonly load: LoadHandlers;
	/** Takes the notice of an instance that leaves. */
	readonly acceptLeaving: (instanceId: string, incarnation: number) => void;
	/** Decides on a claim of an idempotency key. */
	readonly acceptKeyClaim: (claim: KeyClaim) => KeyVerdict;
	/** Takes the end of a claim. */
	readonly acceptKeySettlement: (settlement: KeySettlement) => void;
	/** Waits until the request of a key has ended; undefined when it did not run or is not remembered. */
	readonly waitForKey: (service: string, key: string, waitMs: number) => Promise<KeyReport | undefined>;
};
