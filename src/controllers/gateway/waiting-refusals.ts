import {err} from 'neverthrow';
import type {Clock} from '../../common/clock.js';
import {ErrorKind} from '../../common/error-kind.js';
import {RequestError} from '../../common/request-error.js';
import {findDisplaced} from '../../policy/gateway/find-displaced.js';
import {minRetryAfterMs} from '../../policy/gateway/min-retry-after-ms.js';
import type {RequestQueue} from '../../policy/gateway/request-queue.js';
import type {PlacementRefusals} from './placement-refusals.js';
import type {PlacementWaiter} from './placement-waiter.js';
import type {ServiceAdmission} from './service-admission.js';
import type {TargetPool} from './target-pool.js';

type WaitingRefusalsOptions = {
	readonly waiters: RequestQueue<PlacementWaiter>;
	readonly refusals: PlacementRefusals;
	readonly pool: TargetPool;
	readonly admission: ServiceAdmission;
	readonly clock: Clock;
	/** Requests that look for slots at the same time. */
	readonly lookingCount: number;
};

/** Refuses waiting requests of one service as soon as it is known that they will not be served in time, so that callers can use the time that they have left. */
export class WaitingRefusals {
	constructor(private readonly _options: WaitingRefusalsOptions) {}

	/** Expected time between two slots that become free for the queue, in ms. */
	get msPerSlot(): number {
		const {pool} = this._options;
		return pool.serviceTimes.meanMs / Math.max(1, pool.inFlight);
	}

	describeQueue(waitMs: number) {
		return {length: this._options.waiters.length, msPerSlot: this.msPerSlot, waitMs};
	}

	/** Refuses the less urgent requests that can no longer be served in time behind an urgent one that has arrived. */
	refuseDisplaced({priority, objectiveAt}: PlacementWaiter): void {
		const {clock, pool, admission, waiters, refusals, lookingCount} = this._options;
		const {usualMs} = pool.serviceTimes;
		const now = clock.now();
		if (!admission.isActive || objectiveAt < now + usualMs) {
			return;
		}

		const displaced = findDisplaced(waiters.items, {
			priority, now, usualMs, msPerSlot: this.msPerSlot, lookingCount,
		});
		for (const {item, waitMs} of displaced.filter(({item}) => !admission.isEntitled(item.priority))) {
			waiters.remove(item);
			item.settle(err(refusals.createQueueError(item.request, this.describeQueue(waitMs))));
		}
	}

	/**
	Refuses the waiting requests that even an idle target is not expected to complete before their deadline, or all when no target is
	left. A request for which no target was looked for yet is kept: otherwise a usual time above the timeouts would never be corrected.
	*/
	refuseHopeless(): void {
		const {clock, pool, waiters, refusals} = this._options;
		if (pool.size === 0) {
			for (const waiter of waiters.takeMatching(() => true)) {
				waiter.settle(err(refusals.createNoTargetError(waiter.request.service)));
			}
		}

		const areAllBlocked = pool.computePauseMs([]) === Number.POSITIVE_INFINITY;
		const isBlocked = ({request: {excludedTargets}}: PlacementWaiter): boolean => excludedTargets.length === 0 ? areAllBlocked : pool.computePauseMs(excludedTargets) === Number.POSITIVE_INFINITY;
		for (const {request, settle} of waiters.takeMatching(waiter => isBlocked(waiter))) {
			settle(err(refusals.createBlockedError(request.service, Number.POSITIVE_INFINITY)));
		}

		const earliestEnd = clock.now() + pool.serviceTimes.usualMs;
		for (const waiter of waiters.takeMatching(({request, hasProbed}) => hasProbed && request.deadlineAt < earliestEnd)) {
			waiter.settle(err(new RequestError(ErrorKind.DeadlineUnreachable, `no slot of service "${waiter.request.service}" was free in time`, minRetryAfterMs)));
		}

		this._refuseLate();
	}

	/** Refuses the late requests that would not look for a slot again before the shortage ends. */
	private _refuseLate(): void {
		const {clock, pool, admission, waiters, refusals} = this._options;
		const now = clock.now();
		for (const waiter of waiters.takeMatching(waiter => !admission.canStayQueued(waiter, pool.serviceTimes.usualMs, now))) {
			admission.noteLateRefusal(now);
			waiter.settle(err(refusals.createQueueError(waiter.request, this.describeQueue(admission.computeFallMs()))));
		}
	}
}
