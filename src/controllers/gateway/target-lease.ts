import type {AttemptEnd} from '../../common/gateway/attempt-end.js';
import type {GatewayTarget} from '../../common/gateway/gateway-target.js';
import type {TargetLoad} from '../../common/gateway/target-load.js';
import type {TargetReport} from '../../common/gateway/target-report.js';
import type {TargetClient} from '../../io/gateway/target-client.js';

/** A slot at a target for one attempt. It counts as in use until it is released; further releases have no effect. */
export type TargetLease = {
	readonly target: GatewayTarget;
	/** The load report on which the choice is based, and its age in ms; undefined without one. */
	readonly report: {readonly load: TargetLoad; readonly ageMs: number} | undefined;
	readonly client: Pick<TargetClient, 'sendRequest'>;
	/** Whether the target still accepts requests: it has not left the list, is not leaving and has not asked for a pause since the slot was taken. */
	canSend(): boolean;
	/**
	Frees the slot and records the result of the attempt.
	@param end - How the attempt ended.
	@param report - What the target said of itself in the response, if there was one that belongs to this request.
	*/
	release(end: AttemptEnd, report?: TargetReport): void;
};
