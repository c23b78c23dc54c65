import type {Clock} from '../../common/clock.js';
import {ErrorKind} from '../../common/error-kind.js';
import type {Metrics} from '../../common/metrics.js';
import {RequestError} from '../../common/request-error.js';
import {minRetryAfterMs} from '../../policy/gateway/min-retry-after-ms.js';
import type {PlacementRequest} from './placement-request.js';
import type {ServiceAdmission} from './service-admission.js';
import type {TargetPool} from './target-pool.js';

type PlacementRefusalsOptions = {
	readonly pool: Pick<TargetPool, 'size' | 'serviceTimes' | 'isExhausted' | 'computePauseMs' | 'computePermitWaitMs'>;
	readonly admission: Pick<ServiceAdmission, 'isEntitled' | 'computeRetryAfterMs'>;
	readonly clock: Clock;
	readonly metrics: Metrics;
};

type PlacementTerms = Omit<PlacementRequest, 'signal'>;

type QueueState = {
	/** Number of requests that wait. */
	readonly length: number;
	/** Expected time between two slots that become free for the queue, in ms. */
	readonly msPerSlot: number;
	/** Expected wait of the request behind those that go before it, in ms. */
	readonly waitMs: number;
};

/** Decides which requests of one service are refused at once, with the time after which their callers may return. */
export class PlacementRefusals {
	constructor(private readonly _options: PlacementRefusalsOptions) {}

	/** Finds the reason for which a request that arrives has to be refused: no target is left, none accepts requests in time, or it would miss its objective behind the queued ones. Undefined when there is none. */
	findRefusal(request: PlacementTerms, queue: QueueState): RequestError | undefined {
		const {clock, pool} = this._options;
		const {service, excludedTargets, objectiveAt, deadlineAt} = request;
		if (pool.size === 0) {
			return this.createNoTargetError(service);
		}

		if (pool.isExhausted(excludedTargets)) {
			return new RequestError(ErrorKind.NoTarget, `each of the ${pool.size} targets of service "${service}" was tried`, minRetryAfterMs);
		}

		const pauseMs = pool.computePauseMs(excludedTargets);
		if (pauseMs > 0 && clock.now() + pauseMs + pool.serviceTimes.usualMs > deadlineAt) {
			return this.createBlockedError(service, pauseMs);
		}

		const waitMs = this.computeWaitMs(request, queue);
		return waitMs > 0 && clock.now() + waitMs > objectiveAt - pool.serviceTimes.usualMs ? this.createQueueError(request, {...queue, waitMs}) : undefined;
	}

	/** Computes the expected wait of a request behind the queued ones and for a permit, in ms; `Infinity` when no time is known. */
	computeWaitMs({priority, excludedTargets}: PlacementTerms, queue: QueueState): number {
		const {pool, admission} = this._options;
		return Math.max(admission.isEntitled(priority) ? 0 : queue.waitMs, pool.computePermitWaitMs(excludedTargets, queue.length));
	}

	createNoTargetError(service: string): RequestError {
		return new RequestError(ErrorKind.NoTarget, `service "${service}" has no target`, minRetryAfterMs);
	}

	/** @param pauseMs - Time until a target accepts requests, in ms; `Infinity` when no time is known. */
	createBlockedError(service: string, pauseMs: number): RequestError {
		const isEndKnown = Number.isFinite(pauseMs);
		const detail = `all targets of service "${service}" accept no requests${isEndKnown ? ` for ${Math.round(pauseMs)} ms` : ''}`;
		return new RequestError(ErrorKind.NoTarget, detail, isEndKnown ? Math.max(minRetryAfterMs, pauseMs) : minRetryAfterMs);
	}

	/** Creates the error of a request that would wait too long, and counts it. */
	createQueueError({service, priority, deadlineAt}: PlacementTerms, {length, msPerSlot, waitMs}: QueueState): RequestError {
		const {clock, admission, metrics} = this._options;
		metrics.countEvent('admission.refused', {service, priority: String(priority)});
		const detail = `${length} requests of service "${service}" are queued; the expected wait is ${Math.round(waitMs)} ms`;
		return new RequestError(ErrorKind.QueueFull, detail, admission.computeRetryAfterMs({
			now: clock.now(), waitMs, msPerSlot, deadlineAt,
		}));
	}
}
