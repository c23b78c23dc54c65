import {ExchangeEnd} from '../../common/exchange-end.js';
import type {LoadReport} from '../../common/load-report.js';
import {RequestClass} from '../../common/request-class.js';
import type {ServiceSpec} from '../../common/service-spec.js';
import type {SlotDemand} from '../../common/slot-demand.js';
import type {TargetSpec} from '../../common/target-spec.js';
import type {QueuedItem} from './queued-item.js';
import {ServiceLoad} from './service-load.js';
import {SizeLearner} from './size-learner.js';
import type {TargetLoad} from './target-load.js';
import {WaitQueue} from './wait-queue.js';

/** A request that asks for a slot. */
type SlotRequest = QueuedItem & {
	readonly demand: SlotDemand;
};

/** A slot that was given to a request. */
type SlotGrant = {
	readonly request: SlotRequest;
	readonly target: TargetSpec;
	readonly load: TargetLoad;
	readonly use: ReturnType<TargetLoad['startUse']>;
};

type ServiceSchedulerOptions = {
	readonly instanceId: string;
	readonly failureDomain: string;
	/** Age at which a peer's counts are no longer believed, in ms. */
	readonly peerExpiryMs: number;
};

/** Predicted waits below this are too uncertain to refuse a request for, in ms. */
const minRefusableWaitMs = 50;
const minRetryAfterMs = 100;
/**
Part of the time left that a predicted wait may take. Admitting up to the whole of it keeps a queue whose requests expire
at its head: they are refused late and the slots run work that is answered late.
*/
const safeWaitShare = 0.5;
/** Share of the slots that must be believed free before a hedge takes one. */
const spareShare = 0.4;

/** Decides for one service which waiting request runs next and at which target. */
export class ServiceScheduler<T extends SlotRequest = SlotRequest> {
	readonly load: ServiceLoad;
	readonly queue: WaitQueue<T>;
	/** Requests that this instance may have in flight; less than all slots when it is outside the entry set. */
	maxInFlight = Number.POSITIVE_INFINITY;
	private readonly _sizes = new SizeLearner();

	constructor(spec: ServiceSpec, options: ServiceSchedulerOptions) {
		this.load = new ServiceLoad(spec, options);
		this.queue = new WaitQueue({maxRequests: spec.queueRequests, maxBytes: spec.queueBytes});
	}

	/** Describes a demand for the queue. */
	createRequest(demand: SlotDemand, now: number): SlotRequest {
		return {
			demand,
			requestClass: demand.requestClass,
			isLong: this._sizes.isLong(demand.rule, demand.size),
			isRetry: demand.attempt > 0,
			enqueuedAt: now,
			deadlineAt: demand.deadlineAt,
			heldBytes: demand.heldBytes,
			costMs: this._sizes.estimateCost(demand.rule),
		};
	}

	/** Gives a request a slot now, if one is believed free and no waiting request goes first. */
	tryGrant(request: SlotRequest, now: number): SlotGrant | undefined {
		if (this.load.inFlight >= this.maxInFlight) {
			return undefined;
		}

		const {isLong, demand} = request;
		const choice = this.load.chooseTarget({
			isLong, excludedTargets: demand.excludedTargets, maxExtraMs: this._computeMaxExtra(), mayOverlap: this._mayOverlap(),
		}, now);
		if (choice === undefined) {
			return undefined;
		}

		return {
			request, target: choice.target, load: choice.load, use: choice.load.startUse(isLong, now),
		};
	}

	/** Gives a hedge a slot if enough slots are believed free that first tries will not miss it. */
	tryGrantSpare(request: SlotRequest, now: number): SlotGrant | undefined {
		const {slotsPerTarget, targets} = this.load.spec;
		const isSpare = this.queue.size === 0 && this.load.countFreeSlots(now) >= slotsPerTarget * targets.length * spareShare;
		return isSpare ? this.tryGrant(request, now) : undefined;
	}

	/** Gives slots that are believed free to waiting requests. */
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
	Takes a slot back.
	@param grant - The grant, returned once.
	@param end - How the exchange ended.
	@param report - The load report that rode on the answer, if any.
	*/
	endGrant({request, target, load, use}: SlotGrant, now: number, end: ExchangeEnd, report?: LoadReport): void {
		load.endUse(use, end, now);
		if (end === ExchangeEnd.Answered) {
			const occupiedMs = now - use.startedAt;
			this._sizes.recordOccupied(request.demand.rule, occupiedMs);
			if (!use.isLong) {
				this.load.recordShort(occupiedMs, now);
			}
		}

		if (report !== undefined) {
			this.acceptReport(target.id, report, now);
		}
	}

	/** Takes a target's own report, from an answer or a poll. */
	acceptReport(targetId: string, report: LoadReport, now: number): void {
		this.load.getTarget(targetId)?.acceptReport(report, now, {slots: this.load.spec.slotsPerTarget, usualMs: this.load.usualMs});
	}

	/** Predicted wait of a new request, in ms, from the work ahead of it and the slots that this instance uses. */
	predictWait(request: SlotRequest): number {
		return this.queue.size === 0 ? 0 : this.queue.computeWorkAhead(request) / Math.max(1, this.load.inFlight);
	}

	/**
	Time after which a retry is useful, in ms, when a request has no chance to be answered in time; undefined when it has.
	A deferrable request is never refused for its predicted wait.
	*/
	computeRetryAfter(request: SlotRequest, now: number): number | undefined {
		if (request.requestClass === RequestClass.Deferrable) {
			return undefined;
		}

		const waitMs = this.predictWait(request);
		const leftMs = (request.deadlineAt - now - request.costMs) * safeWaitShare;
		return waitMs > minRefusableWaitMs && waitMs > leftMs ? Math.max(minRetryAfterMs, waitMs - leftMs) : undefined;
	}

	/** Whether waiting here takes longer than waiting for a slot of one target. */
	private _mayOverlap(): boolean {
		const {slotsPerTarget} = this.load.spec;
		return this.queue.size * slotsPerTarget > Math.max(slotsPerTarget, this.load.inFlight);
	}

	/** Extra time at a slow target for which it is worth to wait for another slot instead, in ms. */
	private _computeMaxExtra(): number {
		const {inFlight} = this.load;
		return inFlight === 0 ? Number.POSITIVE_INFINITY : ((this.queue.size + 1) * this.load.usualMs) / inFlight;
	}
}
