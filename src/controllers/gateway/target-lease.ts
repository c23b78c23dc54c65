import type {AttemptEnd} from '../../common/gateway/attempt-end.js';
import type {GatewayTarget} from '../../common/gateway/gateway-target.js';
import type {TargetLoad} from '../../common/gateway/target-load.js';
import type {TargetClient} from '../../io/gateway/target-client.js';

/** A slot at a target for one attempt. It counts as in use until it is released; further releases have no effect. */
export type TargetLease = {
	readonly target: GatewayTarget;
	/** The load report on which the choice is based, and its age in ms; undefined without one. */
	readonly report: {readonly load: TargetLoad; readonly ageMs: number} | undefined;
	readonly client: Pick<TargetClient, 'sendRequest'>;
	/**
	Frees the slot and records the result of the attempt.
	@param end - How the attempt ended.
	@param load - The load report that came with the response, if any.
	*/
	release(end: AttemptEnd, load?: TargetLoad): void;
};
