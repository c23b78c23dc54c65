import {err, ok, type Result} from 'neverthrow';
import type {Clock} from '../../common/clock.js';
import type {DisposableLike} from '../../common/disposable-like.js';
import {ErrorKind} from '../../common/error-kind.js';
import {RequestError} from '../../common/request-error.js';
import type {Logger} from '../../common/logger.js';
import type {Metrics} from '../../common/metrics.js';
import {reportTaskFailure} from '../../io/report-task-failure.js';
import {runTask} from '../../io/run-task.js';
import {canTakeSlot} from '../../policy/gateway/can-take-slot.js';
import {findDisplaced} from '../../policy/gateway/find-displaced.js';
import {minRetryAfterMs} from '../../policy/gateway/min-retry-after-ms.js';
import {RequestQueue} from '../../policy/gateway/request-queue.js';
import {PlacementRefusals} from './placement-refusals.js';
import type {PlacementRequest} from './placement-request.js';
import type {PlacementWaiter} from './placement-waiter.js';
import type {ServiceAdmission} from './service-admission.js';
import type {TargetChoice} from './target-choice.js';
import type {TargetLease} from './target-lease.js';
import type {TargetPool} from './target-pool.js';

type ServicePlacerOptions = {
	readonly pool: TargetPool;
	readonly admission: ServiceAdmission;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: Metrics;
};

/** Time after which targets are chosen again for waiting requests if no slot has been freed before, in ms. */
const recheckDelayMs = 25;
/** Requests for which targets may be probed at the same time. */
const maxProbingRequests = 4;

/** Places the requests of one service at its targets: by recent load reports, else with probes. Queues requests while no target is acceptable. */
export class ServicePlacer implements DisposableLike {
	private readonly _waiters = new RequestQueue<PlacementWaiter>();
	private _probingCount = 0;
	/** Requests for which targets are probed again. */
	private _reprobingCount = 0;
	private _recheckAt = Number.NEGATIVE_INFINITY;
	private _timer: NodeJS.Timeout | undefined;
	private readonly _refusals: PlacementRefusals;

	constructor(private readonly _options: ServicePlacerOptions) {
		this._refusals = new PlacementRefusals(_options);
	}

	/** Number of requests that wait for a slot. */
	get waitingCount(): number {
		return this._waiters.length;
	}

	/** Number of requests for which targets were looked for at least once and that still wait for a slot. */
	get unplacedCount(): number {
		return this._waiters.length + this._reprobingCount;
	}

	/** Waits for a slot at a target. An error means that the request has not run. */
	async acquire(request: PlacementRequest): Promise<Result<TargetLease, RequestError>> {
		if (request.signal.aborted) {
			return err(request.signal.reason as RequestError);
		}

		this._options.admission.noteArrival(request.priority);
		const refusal = this._refusals.findRefusal(request, this.predictQueue(request.priority));
		if (refusal !== undefined) {
			return err(refusal);
		}

		return new Promise(resolve => {
			const waiter: PlacementWaiter = {
				request,
				objectiveAt: request.objectiveAt,
				deadlineAt: request.deadlineAt,
				priority: request.priority,
				arrivedAt: this._options.clock.now(),
				lookedAt: Number.NEGATIVE_INFINITY,
				hasProbed: false,
				isSettled: false,
				settle(result) {
					if (!waiter.isSettled) {
						waiter.isSettled = true;
						resolve(result);
					}
				},
			};
			request.signal.addEventListener('abort', () => {
				this._waiters.remove(waiter);
				waiter.settle(err(request.signal.reason as RequestError));
			}, {once: true});
			this._waiters.add(waiter);
			this._refuseDisplaced(waiter);
			this.placeWaiting();
		});
	}

	/**
	Predicts the wait of a request that arrives now, in ms, from the rate at which this instance's requests free slots.
	@param priority - Priority of the request; less urgent ones that wait do not count.
	*/
	predictWaitMs(priority: number): number {
		const {clock, pool} = this._options;
		return this._waiters.countTimely(clock.now() + pool.serviceTimes.usualMs, priority) * this._msPerSlot;
	}

	/** Predicts the queue that a request that arrives now finds. */
	predictQueue(priority: number) {
		return this._describeQueue(this.predictWaitMs(priority));
	}

	/** Takes a slot at an idle target without queueing, for a hedge; undefined when none is found or other requests wait. */
	async tryAcquire(request: PlacementRequest): Promise<TargetLease | undefined> {
		if (this._waiters.length > 0) {
			return undefined;
		}

		const {pool} = this._options;
		const choice = await pool.chooseWithProbes(request);
		const confirmed = choice && pool.confirmChoice(choice, request);
		return confirmed?.isIdle ? pool.grant(confirmed) : undefined;
	}

	/** Places waiting requests by recent load reports and starts probes for those that cannot be placed by them. Refuses those that can no longer be completed in time. */
	placeWaiting(): void {
		const {clock, pool, admission} = this._options;
		this._refuseHopeless();
		const unplaced: PlacementWaiter[] = [];
		for (let waiter = this._takeNext(); waiter !== undefined; waiter = this._takeNext()) {
			try {
				if (!admission.canContend(waiter, pool.serviceTimes.usualMs, clock.now())) {
					unplaced.push(waiter);
					continue;
				}

				const choice = pool.chooseFromReports(waiter.request);
				if (choice !== undefined && this._isAcceptable(choice, waiter)) {
					this._grant(waiter, choice);
				} else if (this._probingCount < maxProbingRequests && (!waiter.hasProbed || clock.now() >= this._recheckAt)) {
					void this._placeWithProbes(waiter);
				} else {
					unplaced.push(waiter);
				}
			} catch (error) {
				this._failWaiter('placement', waiter, error);
			}
		}

		for (const waiter of unplaced) {
			this._waiters.add(waiter);
		}

		if (this._waiters.length > 0) {
			this._scheduleRecheck();
		}
	}

	dispose(): void {
		clearTimeout(this._timer);
	}

	/** Expected time between two slots that become free for the queue, in ms. */
	private get _msPerSlot(): number {
		const {pool} = this._options;
		return pool.serviceTimes.meanMs / Math.max(1, pool.inFlight);
	}

	private _describeQueue(waitMs: number) {
		return {length: this._waiters.length, msPerSlot: this._msPerSlot, waitMs};
	}

	private _takeNext(): PlacementWaiter | undefined {
		const {clock, pool, admission} = this._options;
		const earliestEnd = clock.now() + pool.serviceTimes.usualMs;
		return admission.isActive ? this._waiters.takeByPriority(earliestEnd, admission.starvedPriority) : this._waiters.take(earliestEnd);
	}

	private _grant(waiter: PlacementWaiter, choice: TargetChoice): void {
		const {pool, admission} = this._options;
		admission.noteGrant(waiter.priority);
		waiter.settle(ok(pool.grant(choice)));
	}

	/** Refuses the less urgent requests that can no longer be served in time behind an urgent one that has arrived. */
	private _refuseDisplaced({priority, objectiveAt}: PlacementWaiter): void {
		const {clock, pool, admission} = this._options;
		const {usualMs} = pool.serviceTimes;
		const now = clock.now();
		if (!admission.isActive || objectiveAt < now + usualMs) {
			return;
		}

		const displaced = findDisplaced(this._waiters.items, {
			priority, now, usualMs, msPerSlot: this._msPerSlot, lookingCount: maxProbingRequests,
		});
		for (const {item, waitMs} of displaced.filter(({item}) => !admission.isEntitled(item.priority))) {
			this._waiters.remove(item);
			item.settle(err(this._refusals.createQueueError(item.request, this._describeQueue(waitMs))));
		}
	}

	/**
	Refuses the waiting requests that even an idle target is not expected to complete before their deadline, or all when no target is
	left, so that callers can use the time that they have left. A request for which no target was looked for yet is kept: otherwise a usual time above the timeouts would never be corrected.
	*/
	private _refuseHopeless(): void {
		const {clock, pool} = this._options;
		if (pool.size === 0) {
			for (const waiter of this._waiters.takeMatching(() => true)) {
				waiter.settle(err(this._refusals.createNoTargetError(waiter.request.service)));
			}
		}

		const areAllBlocked = pool.computePauseMs([]) === Number.POSITIVE_INFINITY;
		const isBlocked = ({request: {excludedTargets}}: PlacementWaiter): boolean => excludedTargets.length === 0 ? areAllBlocked : pool.computePauseMs(excludedTargets) === Number.POSITIVE_INFINITY;
		for (const {request, settle} of this._waiters.takeMatching(waiter => isBlocked(waiter))) {
			settle(err(this._refusals.createBlockedError(request.service, Number.POSITIVE_INFINITY)));
		}

		const earliestEnd = clock.now() + pool.serviceTimes.usualMs;
		for (const waiter of this._waiters.takeMatching(({request, hasProbed}) => hasProbed && request.deadlineAt < earliestEnd)) {
			waiter.settle(err(new RequestError(ErrorKind.DeadlineUnreachable, `no slot of service "${waiter.request.service}" was free in time`, minRetryAfterMs)));
		}
	}

	private _isAcceptable(choice: TargetChoice, {request, hasProbed}: PlacementWaiter): boolean {
		const {clock, pool} = this._options;
		// Without probes, a better target may be unknown, so only an idle one is accepted.
		return choice.isIdle || (hasProbed && canTakeSlot({
			estimateMs: choice.estimateMs, usualMs: pool.serviceTimes.usualMs, objectiveAt: request.objectiveAt, deadlineAt: request.deadlineAt,
		}, clock.now()));
	}

	private async _placeWithProbes(waiter: PlacementWaiter): Promise<void> {
		let choice: TargetChoice | undefined;
		const reprobing = waiter.hasProbed ? 1 : 0;
		this._probingCount++;
		this._reprobingCount += reprobing;
		waiter.lookedAt = this._options.clock.now();
		try {
			choice = await this._options.pool.chooseWithProbes(waiter.request);
		} catch (error) {
			this._failWaiter('placement-probes', waiter, error);
		}

		this._probingCount--;
		this._reprobingCount -= reprobing;
		try {
			this._finishProbes(waiter, choice);
		} catch (error) {
			this._failWaiter('placement', waiter, error);
		}
	}

	private _finishProbes(waiter: PlacementWaiter, choice: TargetChoice | undefined): void {
		const {clock, admission} = this._options;
		const isFirstLook = !waiter.hasProbed;
		waiter.hasProbed = true;
		if (waiter.isSettled) {
			this.placeWaiting();
			return;
		}

		const confirmed = choice && this._options.pool.confirmChoice(choice, waiter.request);
		const isFound = confirmed !== undefined && this._isAcceptable(confirmed, waiter);
		if (isFirstLook) {
			admission.noteLook(isFound, clock.now());
		}

		if (isFound) {
			this._grant(waiter, confirmed);
			this.placeWaiting();
			return;
		}

		this._waiters.add(waiter);
		this._recheckAt = clock.now() + recheckDelayMs;
		this._scheduleRecheck();
	}

	/** Refuses a request whose placement ended by an exception, so that it does not wait for its deadline. */
	private _failWaiter(task: string, waiter: PlacementWaiter, error: unknown): void {
		reportTaskFailure(this._options, task, error);
		waiter.settle(err(new RequestError(ErrorKind.InternalQueued, 'no target could be chosen')));
	}

	private _scheduleRecheck(): void {
		this._timer ??= setTimeout(() => {
			this._timer = undefined;
			void runTask(this._options, 'placement-recheck', () => {
				this.placeWaiting();
			});
		}, recheckDelayMs);
	}
}
