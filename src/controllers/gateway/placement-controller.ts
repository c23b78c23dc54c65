import {err, type Result} from 'neverthrow';
import type {Clock} from '../../common/clock.js';
import type {DisposableLike} from '../../common/disposable-like.js';
import {ErrorKind} from '../../common/error-kind.js';
import type {GatewayService} from '../../common/gateway/gateway-service.js';
import type {GatewayTarget} from '../../common/gateway/gateway-target.js';
import type {GatewaySettings} from '../../common/gateway/gateway-settings.js';
import type {HeaderVocabulary} from '../../common/gateway/header-vocabulary.js';
import type {ServiceExplanation} from '../../common/gateway/service-explanation.js';
import type {Logger} from '../../common/logger.js';
import type {Metrics} from '../../common/metrics.js';
import {RequestError} from '../../common/request-error.js';
import type {ColdTargetOwners} from '../../policy/gateway/cold-target-owners.js';
import {createEvacuationGuard} from '../../policy/gateway/create-evacuation-guard.js';
import {computeFreeShare} from '../../policy/gateway/compute-free-share.js';
import type {FleetShare} from '../../policy/gateway/fleet-share.js';
import type {HedgeCapacity} from '../../policy/gateway/hedge-capacity.js';
import {minRetryAfterMs} from '../../policy/gateway/min-retry-after-ms.js';
import {TrafficShare} from '../../policy/gateway/traffic-share.js';
import {RetryBudget} from '../../policy/gateway/retry-budget.js';
import {listServicePriorities} from '../../policy/gateway/list-service-priorities.js';
import {explainService} from './explain-service.js';
import type {PlacementRequest} from './placement-request.js';
import {ServiceAdmission} from './service-admission.js';
import {ServicePlacer} from './service-placer.js';
import type {SiteView} from './site-view.js';
import type {TargetLease} from './target-lease.js';
import {TargetPool} from './target-pool.js';
import {TargetProber} from './target-prober.js';

type PlacementControllerOptions = {
	readonly settings: GatewaySettings;
	readonly view: SiteView;
	readonly headers: HeaderVocabulary;
	readonly logger: Logger;
	readonly metrics: Metrics;
	readonly clock: Clock;
	readonly random: () => number;
	/** Divides the requests to cold targets among instances; undefined for no limit. */
	readonly coldTargetOwners?: ColdTargetOwners | undefined;
	/** Divides limits of the fleet among its instances. */
	readonly share: Pick<FleetShare, 'divide' | 'divideWindowLimit'>;
	/** Computes the share of this instance in limits on the requests to a service, as a factor of an equal share. */
	readonly computeTrafficFactor: (service: string) => number;
};

type ServiceState = {
	readonly pool: TargetPool;
	readonly placer: ServicePlacer;
	readonly admission: ServiceAdmission;
	readonly retryBudget: RetryBudget;
	readonly traffic: TrafficShare;
	/** The targets of the service in the last list. */
	targets: readonly GatewayTarget[];
};

/** The largest buffered response is the memory limit divided by this: responses are buffered whole, some tens at a time, beside heap and sockets. */
const responseMemoryDivisor = 64;
/** Fraction of the allowed retry ratio that is used, since a retry may fall in a later window than the request that allows it: up to 10 s after it when the window has that length. */
const retryRatioShare = 0.8;

/** Manages the target pool, the request queue and the retry budget of each service. */
export class PlacementController implements DisposableLike {
	private readonly _services = new Map<string, ServiceState>();

	constructor(private readonly _options: PlacementControllerOptions) {
		_options.view.onConfiguration(() => {
			this._updateServices();
		});
		_options.view.onTargets(() => {
			this._updateServices();
		});
		_options.view.operator.onEvacuations(() => {
			for (const {placer} of this._services.values()) {
				placer.placeWaiting();
			}
		});
		_options.view.onVersionChange(() => {
			this._refreshShares();
		});
	}

	/**
	Explains what a service would do with a request that arrives now, without sending it; nothing changes.
	@param share - Fraction of the requests of the route that go to the service.
	*/
	explain(request: Omit<PlacementRequest, 'signal'>, share: number): ServiceExplanation | undefined {
		const {clock, coldTargetOwners} = this._options;
		const state = this._services.get(request.service);
		return state && explainService({
			request,
			share,
			placer: state.placer,
			pool: state.pool,
			admission: state.admission,
			coldTargetOwners,
			leavingCount: state.targets.filter(({isLeaving}) => isLeaving).length,
			clock,
		});
	}

	/** Waits for a slot at a target of the service. An error means that the request has not run. */
	async acquire(request: PlacementRequest): Promise<Result<TargetLease, RequestError>> {
		const placer = this._services.get(request.service)?.placer;
		return placer === undefined ? err(new RequestError(ErrorKind.NoTarget, `service "${request.service}" has no target`, minRetryAfterMs)) : placer.acquire(request);
	}

	/** Takes a slot at an idle target without queueing, for a hedge; undefined when none is found. */
	async tryAcquire(request: PlacementRequest): Promise<TargetLease | undefined> {
		return this._services.get(request.service)?.placer.tryAcquire(request);
	}

	/** Predicts the wait of a new request of the service for a slot, in ms. */
	predictWaitMs(service: string, priority: number): number {
		return this._services.get(service)?.placer.predictWaitMs(priority) ?? 0;
	}

	/** Returns the expected duration of a request at an idle target, in ms. */
	getUsualMs(service: string): number {
		return this._services.get(service)?.pool.serviceTimes.usualMs ?? 0;
	}

	/** Returns the state of a service by which its hedges are decided; undefined for an unknown service. */
	getHedgeCapacity(service: string): HedgeCapacity | undefined {
		const now = this._options.clock.now();
		const state = this._services.get(service);
		return state && {
			waitingCount: state.placer.unplacedCount,
			freeShare: computeFreeShare(state.pool.listReports(now)),
			usualMs: state.pool.serviceTimes.usualMs,
			hasRetryLeft: state.retryBudget.getRemaining(now) >= 1,
		};
	}

	/** Counts a new request, which adds to the retry budget of the service. */
	addRequest(service: string): void {
		this._services.get(service)?.retryBudget.addRequest(this._options.clock.now());
	}

	/** Takes a retry or hedge from the retry budget of the service; false when the budget is exhausted. */
	tryTakeRetry(service: string): boolean {
		const isTaken = this._services.get(service)?.retryBudget.tryTake(this._options.clock.now()) ?? false;
		this._options.metrics.countEvent('request.repeats', {service, result: isTaken ? 'allowed' : 'refused'});
		return isTaken;
	}

	/** Records the current queue length, requests in flight, usual duration and remaining retries of each service. */
	recordGauges(): void {
		const {metrics, clock} = this._options;
		for (const [service, {placer, admission, pool, retryBudget}] of this._services) {
			metrics.recordGauge('queue.waiting', placer.waitingCount, {service});
			metrics.recordGauge('admission.level', admission.updateLevel(clock.now()), {service});
			metrics.recordGauge('target.in_flight', pool.inFlight, {service});
			metrics.recordGauge('target.paused', pool.pausedCount, {service});
			metrics.recordGauge('target.cold', pool.coldCount, {service});
			metrics.recordGauge('target.usual_ms', pool.serviceTimes.usualMs, {service});
			metrics.recordGauge('request.repeats_left', retryBudget.getRemaining(clock.now()), {service});
		}
	}

	dispose(): void {
		for (const {placer, pool} of this._services.values()) {
			placer.dispose();
			pool.dispose();
		}
	}

	/** Updates the shares of all services, also of those without requests, since a share that has grown takes effect one window after it is noticed. */
	private _refreshShares(): void {
		for (const {traffic} of this._services.values()) {
			traffic.getWindowFactor(this._options.clock.now());
		}
	}

	private _updateServices(): void {
		const {view} = this._options;
		const services = new Map((view.configuration?.services ?? []).map(service => [service.name, service]));
		for (const [name, {placer, pool}] of this._services) {
			if (!services.has(name)) {
				this._services.delete(name);
				placer.dispose();
				pool.dispose();
			}
		}

		const targetsByService = new Map<string, GatewayTarget[]>();
		for (const target of view.targets) {
			const targets = targetsByService.get(target.service);
			if (targets === undefined) {
				targetsByService.set(target.service, [target]);
			} else {
				targets.push(target);
			}
		}

		for (const service of services.values()) {
			const state = this._services.get(service.name) ?? this._createService(service);
			this._services.set(service.name, state);
			state.pool.setService(service);
			state.admission.setPriorities(listServicePriorities(view.configuration?.routes ?? [], service.name));
			const targets = targetsByService.get(service.name) ?? [];
			// Most changes concern few services, and an update costs time for each target.
			if (targets.length !== state.targets.length || targets.some((target, index) => target !== state.targets[index])) {
				state.targets = targets;
				state.pool.update(targets);
				state.placer.placeWaiting();
			}
		}
	}

	private _createService(service: GatewayService): ServiceState {
		const {settings, view, headers, logger, metrics, clock, random, share} = this._options;
		const {limits, instance} = settings;
		const traffic = new TrafficShare({computeFactor: () => this._options.computeTrafficFactor(service.name), windowMs: limits.retryWindowMs});
		const pool = new TargetPool({
			service,
			instanceId: instance.id,
			failureDomain: instance.failureDomain,
			clock,
			random,
			prober: new TargetProber(headers),
			logger,
			metrics,
			coldTargetOwners: this._options.coldTargetOwners,
			maxResponseBytes: limits.memoryBytes / responseMemoryDivisor,
			getMaxConnections: ({connectionsPerTarget}) => Math.max(1, Math.floor(share.divide(connectionsPerTarget))),
			getProbeRate: () => share.divide(limits.probesPerTargetPerSecond) * traffic.factor,
			guards: [createEvacuationGuard(failureDomain => view.operator.isEvacuated(failureDomain))],
			onRelease() {
				placer.placeWaiting();
			},
			onLeaving(target) {
				view.noteLeaving([target], 'response');
			},
		});
		const admission = new ServiceAdmission(random);
		const placer = new ServicePlacer({
			pool, admission, clock, logger, metrics,
		});
		return {
			pool,
			placer,
			admission,
			traffic,
			targets: [],
			retryBudget: new RetryBudget({
				ratio: limits.retryRatio * retryRatioShare,
				getSlack: () => share.divideWindowLimit(limits.retrySlack) * traffic.getWindowFactor(clock.now()),
				windowMs: limits.retryWindowMs,
			}),
		};
	}
}
