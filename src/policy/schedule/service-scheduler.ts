import {ExchangeEnd} from '../../common/exchange-end.js';
import type {LoadReport} from '../../common/load-report.js';
import {RequestClass} from '../../common/request-class.js';
import type {ServiceSpec} from '../../common/service-spec.js';
import type {SlotDemand} from '../../common/slot-demand.js';
import type {TargetSpec} from '../../common/target-spec.js';
import type {QueuedItem} from './queued-item.js';
import {ServiceLoad} from './service-load.js';
import {RequestCostEstimator} from './request-cost-estimator.js';
import type {TargetLoad} from './target-load.js';
import {WaitQueue} from './wait-queue.js';

/** A request that needs a slot. */
type SlotRequest = QueuedItem & {
	readonly demand: SlotDemand;
};

/** A slot that was given to a request. */
type SlotGrant = {
	readonly request: SlotRequest;
	readonly target: TargetSpec;
	readonly load: TargetLoad;
	readonly use: ReturnType<TargetLoad['acquireSlot']>;
};

type ServiceSchedulerOptions = {
	readonly instanceId: string;
	readonly failureDomain: string;
	/** Age from which a peer's counts are ignored, in ms. */
	readonly peerExpiryMs: number;
};

/** Shorter predicted waits are too uncertain to refuse a request for. */
const minRefusableWaitMs = 50;
const minRetryAfterMs = 100;
/**
Share of the remaining time that a predicted wait may take. Admitting up to all of it leads to a queue whose requests
expire at its head: they are refused late, and the slots run requests whose responses come too late.
*/
const maxWaitShare = 0.5;
/** Share of the slots that must be free before a hedge takes one. */
const minHedgeFreeShare = 0.4;

/** Decides for one service which waiting request runs next and at which target. */
export class ServiceScheduler<T extends SlotRequest = SlotRequest> {
	readonly load: ServiceLoad;
	readonly queue: WaitQueue<T>;
	/** Maximum requests of this instance in flight; less than all slots when it is outside the entry set. */
	maxInFlight = Number.POSITIVE_INFINITY;
	private readonly _costEstimator = new RequestCostEstimator();

	constructor(spec: ServiceSpec, options: ServiceSchedulerOptions) {
		this.load = new ServiceLoad(spec, options);
		this.queue = new WaitQueue({maxRequests: spec.queueRequests, maxBytes: spec.queueBytes});
	}

	/** Creates the queue item for a slot demand. */
	createRequest(demand: SlotDemand, now: number): SlotRequest {
		return {
			demand,
			requestClass: demand.requestClass,
			isLong: this._costEstimator.isLong(demand.rule, demand.size),
			isRetry: demand.attempt > 0,
			enqueuedAt: now,
			deadlineAt: demand.deadlineAt,
			heldBytes: demand.heldBytes,
			costMs: this._costEstimator.estimateCost(demand.rule),
		};
	}

	/** Grants a request a slot at once if a target has one free; the order of the queue is not considered. */
	tryGrant(request: SlotRequest, now: number): SlotGrant | undefined {
		if (this.load.inFlight >= this.maxInFlight) {
			return undefined;
		}

		const {isLong, demand} = request;
		const choice = this.load.chooseTarget({
			isLong, excludedTargets: demand.excludedTargets, maxExtraMs: this._computeMaxExtraMs(), isOvercommitAllowed: this._isOvercommitAllowed(),
		}, now);
		if (choice === undefined) {
			return undefined;
		}

		return {
			request, target: choice.target, load: choice.load, use: choice.load.acquireSlot(isLong, now),
		};
	}

	/** Grants a hedge a slot if nothing waits and so many slots are free that first attempts are not delayed. */
	tryGrantHedge(request: SlotRequest, now: number): SlotGrant | undefined {
		const {slotsPerTarget, targets} = this.load.spec;
		const hasEnoughFreeSlots = this.queue.size === 0 && this.load.countFreeSlots(now) >= slotsPerTarget * targets.length * minHedgeFreeShare;
		return hasEnoughFreeSlots ? this.tryGrant(request, now) : undefined;
	}

	/** Grants free slots to waiting requests, in order of service. */
	serveQueue(now: number): Array<{readonly item: T; readonly grant: SlotGrant}> {
		const served: Array<{readonly item: T; readonly grant: SlotGrant}> = [];
		while (this.queue.size > 0) {
			const next = this.queue.takeNext(now, item => this.tryGrant(item, now));
			if (next === undefined) {
				break;
			}

			served.push({item: next.item, grant: next.served});
		}

		return served;
	}

	/**
	Releases the slot of a grant and records its time and the load report.
	@param grant - The grant, released once.
	@param end - How the exchange ended.
	@param report - The load report of the response, if any.
	*/
	releaseGrant({request, target, load, use}: SlotGrant, now: number, end: ExchangeEnd, report?: LoadReport): void {
		load.releaseSlot(use, end, now);
		if (end === ExchangeEnd.Answered) {
			const slotTimeMs = now - use.startedAt;
			this._costEstimator.recordSlotTime(request.demand.rule, slotTimeMs);
			if (!use.isLong) {
				this.load.recordShortTime(slotTimeMs, now);
			}
		}

		if (report !== undefined) {
			this.acceptReport(target.id, report, now);
		}
	}

	/** Applies a target's own load report, from a response or a poll. */
	acceptReport(targetId: string, report: LoadReport, now: number): void {
		this.load.getTarget(targetId)?.acceptReport(report, now, {slots: this.load.spec.slotsPerTarget, usualMs: this.load.usualMs});
	}

	/** Predicted wait of a new request, in ms: the work ahead of it, divided by the slots that this instance uses. */
	predictWait(request: SlotRequest): number {
		return this.queue.size === 0 ? 0 : this.queue.computeWorkAhead(request) / Math.max(1, this.load.inFlight);
	}

	/**
	Time after which a retry is useful, in ms, when the predicted wait is too long for the deadline; undefined when the
	request may wait. A deferrable request is never refused for its predicted wait.
	*/
	computeRetryAfter(request: SlotRequest, now: number): number | undefined {
		if (request.requestClass === RequestClass.Deferrable) {
			return undefined;
		}

		const waitMs = this.predictWait(request);
		const maxWaitMs = (request.deadlineAt - now - request.costMs) * maxWaitShare;
		return waitMs > minRefusableWaitMs && waitMs > maxWaitMs ? Math.max(minRetryAfterMs, waitMs - maxWaitMs) : undefined;
	}

	/** Whether the wait in this queue is longer than the wait for the next free slot of a single target. */
	private _isOvercommitAllowed(): boolean {
		const {slotsPerTarget} = this.load.spec;
		return this.queue.size * slotsPerTarget > Math.max(slotsPerTarget, this.load.inFlight);
	}

	/** Extra time at a slow target beyond which it is faster to wait for another slot, in ms. */
	private _computeMaxExtraMs(): number {
		const {inFlight} = this.load;
		return inFlight === 0 ? Number.POSITIVE_INFINITY : ((this.queue.size + 1) * this.load.usualMs) / inFlight;
	}
}
