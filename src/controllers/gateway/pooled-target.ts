import type {TargetRecord} from '../../policy/gateway/target-record.js';
import type {TargetClient} from '../../io/gateway/target-client.js';

/** A target of a service, with its client and what this instance knows of it. */
export type PooledTarget = {
	readonly record: TargetRecord;
	readonly client: TargetClient;
	/** Target and incarnation. */
	readonly key: string;
	/** Whether the target has been removed from the pool. */
	/** Constant by which this instance ranks the target behind others, 0 to 1; it differs between instances. */
	readonly preference: number;
	isRemoved: boolean;
	/** The probe in progress, shared by all requests that need one meanwhile; undefined when there is none. */
	pendingProbe: Promise<void> | undefined;
};
