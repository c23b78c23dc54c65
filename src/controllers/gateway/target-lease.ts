import type {AttemptEnd} from '../../common/gateway/attempt-end.js';
import type {GatewayTarget} from '../../common/gateway/gateway-target.js';
import type {TargetLoad} from '../../common/gateway/target-load.js';
import type {TargetClient} from '../../io/gateway/target-client.js';

/** The right to send one request to one target; it is released exactly once. */
export type TargetLease = {
	readonly target: GatewayTarget;
	/** The load report that decided, and its age in ms; undefined without one. */
	readonly report: {readonly load: TargetLoad; readonly ageMs: number} | undefined;
	readonly client: Pick<TargetClient, 'sendRequest'>;
	/**
	Gives the place back.
	@param end - How the attempt ended.
	@param load - The load report that came with the answer, if any.
	*/
	release(end: AttemptEnd, load?: TargetLoad): void;
};
