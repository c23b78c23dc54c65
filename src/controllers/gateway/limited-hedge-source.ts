import type {Clock} from '../../common/clock.js';
import type {Metrics} from '../../common/metrics.js';
import {AttemptEnd} from '../../common/gateway/attempt-end.js';
import {computeHedgeDelayMs} from '../../policy/gateway/compute-hedge-delay.js';
import {computeHedgeRecheckMs} from '../../policy/gateway/compute-hedge-recheck.js';
import {decideHedge} from '../../policy/gateway/decide-hedge.js';
import {HedgeDurations} from '../../policy/gateway/hedge-durations.js';
import {HedgeLimit} from '../../policy/gateway/hedge-limit.js';
import {HedgeRefusal} from '../../policy/gateway/hedge-refusal.js';
import type {HedgeOffer} from './hedge-offer.js';
import type {HedgeRequest} from './hedge-request.js';
import type {HedgeSource} from './hedge-source.js';
import type {PlacementController} from './placement-controller.js';
import type {SiteView} from './site-view.js';

type LimitedHedgeSourceOptions = {
	/** Hedges allowed per request of a service, from 0 to 1. */
	readonly ratio: number;
	readonly placement: Pick<PlacementController, 'tryAcquire' | 'tryTakeRetry' | 'getHedgeCapacity' | 'getUsualMs'>;
	readonly view: Pick<SiteView, 'onConfiguration'>;
	readonly clock: Clock;
	readonly metrics: Metrics;
};

type ServiceHedges = {
	readonly limit: HedgeLimit;
	/** Durations by the objective of the route, since the routes of a service differ in the work of their requests. */
	readonly durations: Map<number, HedgeDurations>;
};

/** Share of the requests that count as slow, as a fraction of the limit: slow requests come in groups, and with more of them the slowest would find the limit used up. */
const slowFraction = 0.33;

/** Grants hedges to the slowest requests of each service, within a limit of their own and only while targets have capacity to spare. */
export class LimitedHedgeSource implements HedgeSource {
	private readonly _services = new Map<string, ServiceHedges>();

	constructor(private readonly _options: LimitedHedgeSourceOptions) {
		_options.view.onConfiguration(({services, routes}) => {
			const names = new Set(services.map(({name}) => name));
			const objectives = new Set(routes.map(({objectiveMs}) => objectiveMs));
			for (const [name, {durations}] of this._services) {
				if (!names.has(name)) {
					this._services.delete(name);
				}

				for (const objectiveMs of durations.keys()) {
					if (!objectives.has(objectiveMs)) {
						durations.delete(objectiveMs);
					}
				}
			}
		});
	}

	get isOff(): boolean {
		return this._options.ratio === 0;
	}

	addRequest(service: string): void {
		this._getService(service).limit.addRequest();
	}

	getStartDelayMs(): undefined {
		return undefined;
	}

	notePlaced(request: HedgeRequest): number {
		const {placement, objectiveMs} = request;
		const now = this._options.clock.now();
		request.placedAt = now;
		const durations = this._getDurations(request);
		request.delayMs = computeHedgeDelayMs({
			quantileMs: durations.getQuantileMs(1 - (this._options.ratio * slowFraction), now),
			typicalMs: durations.getQuantileMs(0.5, now) ?? this._options.placement.getUsualMs(placement.service),
			objectiveMs,
			objectiveLeftMs: placement.objectiveAt - now,
		});
		return request.delayMs;
	}

	async tryAcquire(request: HedgeRequest): Promise<HedgeOffer> {
		const decision = this._decide(request);
		switch (decision.kind) {
			case 'stop': {
				return {kind: 'never'};
			}

			case 'refuse': {
				return this._refuse(request, decision.refusal);
			}

			case 'send': {
				return this._acquire(request);
			}
		}
	}

	recordFirstEnd(request: HedgeRequest, isComplete: boolean): void {
		const {placedAt, delayMs} = request;
		if (placedAt === undefined) {
			return;
		}

		const now = this._options.clock.now();
		// Slow attempts that a hedge has cut short belong to the quantile, or it would fall with each of them; what ended early says nothing.
		if (isComplete || now - placedAt >= delayMs) {
			this._getDurations(request).record(now - placedAt, now);
		}
	}

	countHedge(service: string, result: string): void {
		this._options.metrics.countEvent('request.hedges', {service, result});
	}

	private _decide({placement}: HedgeRequest): ReturnType<typeof decideHedge> {
		const capacity = this._options.placement.getHedgeCapacity(placement.service);
		return capacity === undefined
			? {kind: 'stop'}
			: decideHedge({...capacity, deadlineAt: placement.deadlineAt, hasHedgeLeft: this._getService(placement.service).limit.hasLeft}, this._options.clock.now());
	}

	private async _acquire(request: HedgeRequest): Promise<HedgeOffer> {
		const {placement} = request;
		// Before the first target is listed as attempted, the hedge could go to the same one.
		const lease = placement.excludedTargets.length === 0 ? undefined : await this._options.placement.tryAcquire(placement);
		if (lease === undefined) {
			return this._refuse(request, HedgeRefusal.Capacity);
		}

		// Choosing a target takes some ms, in which other requests may have begun to wait or have taken the last hedge.
		const decision = this._decide(request);
		if (!placement.signal.aborted && decision.kind === 'send' && this._options.placement.tryTakeRetry(placement.service) && this._getService(placement.service).limit.tryTake()) {
			return {kind: 'granted', lease};
		}

		lease.release(AttemptEnd.Unused);
		return placement.signal.aborted || decision.kind !== 'refuse' ? {kind: 'never'} : this._refuse(request, decision.refusal);
	}

	private _refuse({placement, placedAt, delayMs, objectiveMs}: HedgeRequest, refusal: HedgeRefusal): HedgeOffer {
		const {clock, metrics} = this._options;
		const now = clock.now();
		metrics.countEvent('request.hedges', {service: placement.service, result: refusal});
		const recheckMs = computeHedgeRecheckMs({
			placedAt: placedAt ?? now,
			delayMs,
			objectiveMs,
			objectiveAt: placement.objectiveAt,
			deadlineAt: placement.deadlineAt,
			usualMs: this._options.placement.getUsualMs(placement.service),
		}, now);
		return recheckMs === undefined ? {kind: 'never'} : {kind: 'later', delayMs: recheckMs};
	}

	private _getService(service: string): ServiceHedges {
		let hedges = this._services.get(service);
		if (hedges === undefined) {
			hedges = {limit: new HedgeLimit(this._options.ratio), durations: new Map()};
			this._services.set(service, hedges);
		}

		return hedges;
	}

	private _getDurations({placement, objectiveMs}: HedgeRequest): HedgeDurations {
		const {durations} = this._getService(placement.service);
		let ofRoutes = durations.get(objectiveMs);
		if (ofRoutes === undefined) {
			ofRoutes = new HedgeDurations();
			durations.set(objectiveMs, ofRoutes);
		}

		return ofRoutes;
	}
}
