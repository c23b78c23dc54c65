import type {TargetRecord} from '../../policy/gateway/target-record.js';
import type {TargetClient} from '../../io/gateway/target-client.js';

/** One target of a service as this instance uses it. */
export type PooledTarget = {
	readonly record: TargetRecord;
	readonly client: TargetClient;
	/** The probe that is under way; whoever needs one meanwhile waits for it. */
	pendingProbe: Promise<void> | undefined;
};
