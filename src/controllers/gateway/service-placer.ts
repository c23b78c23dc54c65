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
import {RequestQueue} from '../../policy/gateway/request-queue.js';
import {PlacementRefusals} from './placement-refusals.js';
import type {PlacementRequest} from './placement-request.js';
import type {PlacementWaiter} from './placement-waiter.js';
import type {ServiceAdmission} from './service-admission.js';
import type {TargetChoice} from './target-choice.js';
import type {TargetLease} from './target-lease.js';
import type {TargetPool} from './target-pool.js';
import {WaitingRefusals} from './waiting-refusals.js';

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
	private readonly _waitingRefusals: WaitingRefusals;

	constructor(private readonly _options: ServicePlacerOptions) {
		this._refusals = new PlacementRefusals(_options);
		this._waitingRefusals = new WaitingRefusals({
			..._options, waiters: this._waiters, refusals: this._refusals, lookingCount: maxProbingRequests,
		});
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
			this._waitingRefusals.refuseDisplaced(waiter);
			this.placeWaiting();
		});
	}

	/**
	Predicts the wait of a request that arrives now, in ms, from the rate at which this instance's requests free slots.
	@param priority - Priority of the request; less urgent ones that wait do not count.
	*/
	predictWaitMs(priority: number): number {
		const {clock, pool} = this._options;
		return this._waiters.countTimely(clock.now() + pool.serviceTimes.usualMs, priority) * this._waitingRefusals.msPerSlot;
	}

	/** Predicts the queue that a request that arrives now finds. */
	predictQueue(priority: number) {
		return this._waitingRefusals.describeQueue(this.predictWaitMs(priority));
	}

	/** Takes a slot at an idle target without queueing, for a hedge; undefined when none is found, other requests wait or slots are scarce. */
	async tryAcquire(request: PlacementRequest): Promise<TargetLease | undefined> {
		if (!this._canHedge()) {
			return undefined;
		}

		const {pool} = this._options;
		const choice = await pool.chooseWithProbes(request);
		const confirmed = choice && pool.confirmChoice(choice, request);
		// The level may have risen while targets were probed.
		return confirmed?.isIdle && this._canHedge() ? pool.grant(confirmed) : undefined;
	}

	/** Places waiting requests by recent load reports and starts probes for those that cannot be placed by them. Refuses those that can no longer be completed in time. */
	placeWaiting(): void {
		const {clock, pool, admission} = this._options;
		this._waitingRefusals.refuseHopeless();
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

	private _canHedge(): boolean {
		const {admission, clock} = this._options;
		return this._waiters.length === 0 && admission.updateLevel(clock.now()) === 0;
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
			const {pool} = this._options;
			choice = await pool.chooseWithProbes(waiter.request);
			// Probes end at the first idle target, and another request may have taken it.
			if (choice !== undefined && pool.confirmChoice(choice, waiter.request) === undefined) {
				choice = await pool.chooseWithProbes(waiter.request);
			}
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
