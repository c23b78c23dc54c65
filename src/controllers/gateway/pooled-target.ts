import type {TargetRecord} from '../../policy/gateway/target-record.js';
import type {TargetClient} from '../../io/gateway/target-client.js';

/** A target of a service, with its client and what this instance knows of it. */
export type PooledTarget = {
	readonly record: TargetRecord;
	readonly client: TargetClient;
	/** Target and incarnation. */
	readonly key: string;
	/** Whether the target has been removed from the pool. */
	isRemoved: boolean;
	/** The probe in progress, shared by all requests that need one meanwhile; undefined when there is none. */
	pendingProbe: Promise<void> | undefined;
};
