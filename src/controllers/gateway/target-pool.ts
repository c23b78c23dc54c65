import type {Clock} from '../../common/clock.js';
import type {DisposableLike} from '../../common/disposable-like.js';
import type {GatewayService} from '../../common/gateway/gateway-service.js';
import type {GatewayTarget} from '../../common/gateway/gateway-target.js';
import type {TargetReport} from '../../common/gateway/target-report.js';
import type {Logger} from '../../common/logger.js';
import type {Metrics} from '../../common/metrics.js';
import {TargetClient} from '../../io/gateway/target-client.js';
import type {ColdTargetOwners} from '../../policy/gateway/cold-target-owners.js';
import {computeConcurrencyLimit} from '../../policy/gateway/compute-concurrency-limit.js';
import {RateLimiter} from '../../policy/gateway/rate-limiter.js';
import type {TargetGuard} from '../../policy/gateway/target-guard.js';
import {TargetRecord} from '../../policy/gateway/target-record.js';
import type {ServiceTimeAverages} from '../../policy/gateway/service-time-averages.js';
import {ColdTargets} from './cold-targets.js';
import {createTargetLease} from './create-target-lease.js';
import {disposeClientWhenIdle} from './dispose-client-when-idle.js';
import {LoadRefresher} from './load-refresher.js';
import {TargetAvailability} from './target-availability.js';
import type {TargetCriteria} from './target-criteria.js';
import type {TargetChoice} from './target-choice.js';
import type {TargetLease} from './target-lease.js';
import type {PooledTarget} from './pooled-target.js';
import type {TargetProber} from './target-prober.js';
import {TargetRater} from './target-rater.js';

type TargetPoolOptions = {
	readonly service: GatewayService;
	readonly failureDomain: string;
	readonly clock: Clock;
	readonly random: () => number;
	readonly prober: TargetProber;
	readonly logger: Logger;
	readonly metrics: Metrics;
	/** Current limit of this instance's connections to one target. */
	readonly getMaxConnections: (service: GatewayService) => number;
	/** Largest response body that is buffered, in bytes; a longer one fails the attempt. */
	readonly maxResponseBytes: number;
	/** Current limit of this instance's probes, per second and target. */
	readonly getProbeRate: () => number;
	/** Further reasons for which targets get no requests. */
	readonly guards?: readonly TargetGuard[];
	/** Divides the requests to cold targets among instances; undefined for no limit. */
	readonly coldTargetOwners?: Pick<ColdTargetOwners, 'computeUnsettledMs' | 'findShare'> | undefined;
	/** Called after a slot was freed. */
	readonly onRelease: () => void;
	/** Called when a target announces that it is leaving. */
	readonly onLeaving: (target: GatewayTarget) => void;
};

/** Targets that may be probed for one request. */
const maxProbedTargets = 9;
/** Targets that are probed at the same time for one request. */
const probeBatchSize = 2;
/** Largest random addition to a rank, as a factor of the usual time, so that instances do not all probe the same targets. */
const rankJitter = 0.5;
/** Gain of rank of a cold target that is owed a request; more than the ranks of others differ. */
const owedRankGain = 1000;
/** Time for which unused probes accumulate, in s. The limit is on the long-term average, over a day, and load peaks last some seconds. */
const probeBurstSeconds = 10;

/** The targets of one service. Chooses a target for each request, from load reports or with probes, and leases its slots. */
export class TargetPool implements DisposableLike {
	private readonly _pooledTargets = new Map<string, PooledTarget>();
	private readonly _rater: TargetRater;
	private readonly _loadRefresher: LoadRefresher;
	private readonly _coldTargets: ColdTargets;
	private readonly _availability: TargetAvailability;
	private _service: GatewayService;

	constructor(private readonly _options: TargetPoolOptions) {
		this._service = _options.service;
		this._rater = new TargetRater(_options.failureDomain);
		this._coldTargets = new ColdTargets(_options, () => this._service);
		this._availability = new TargetAvailability([..._options.guards ?? [], ...this._coldTargets.guards]);
		// The limit is per target on average, so the budget is shared by all targets of the service; those in the own failure domain are probed most.
		const budget = new RateLimiter({getRate: () => _options.getProbeRate() * this.size, burstSeconds: probeBurstSeconds}, _options.clock.now());
		this._loadRefresher = new LoadRefresher({
			..._options,
			rater: this._rater,
			budget,
			getService: () => this._service,
			onReport: (pooledTarget, report, askedAt) => {
				this._applyReport(pooledTarget, report, askedAt);
			},
		});
	}

	/** Average durations of the service's requests. */
	get serviceTimes(): ServiceTimeAverages {
		return this._rater.serviceTimes;
	}

	/** Number of targets. */
	get size(): number {
		return this._pooledTargets.size;
	}

	/** Number of targets that accept no requests from this instance for now. */
	get pausedCount(): number {
		return this._availability.pausedCount;
	}

	/** Number of targets that are cold. */
	get coldCount(): number {
		const now = this._options.clock.now();
		return [...this._pooledTargets.values()].filter(({record}) => record.isWarming(now)).length;
	}

	/** Requests of this instance that are in flight at targets. */
	get inFlight(): number {
		return [...this._pooledTargets.values()].reduce((sum, {record}) => sum + record.inFlight, 0);
	}

	/** Applies a changed health path or limit of the service. */
	setService(service: GatewayService): void {
		this._service = service;
	}

	/** Replaces the targets by those of a newer list; requests in flight at removed targets continue. */
	update(targets: readonly GatewayTarget[]): void {
		const {clock, getMaxConnections, maxResponseBytes} = this._options;
		const now = clock.now();
		this._availability.evictEnded(now);
		const listedTargets = new Map(targets.filter(target => !target.isLeaving).map(target => [`${target.id} ${target.startedAt}`, target]));
		const removedRecords = new Map<string, TargetRecord>();
		for (const [key, pooledTarget] of this._pooledTargets) {
			const target = listedTargets.get(key);
			if (target?.host !== pooledTarget.record.target.host || target.port !== pooledTarget.record.target.port) {
				removedRecords.set(pooledTarget.record.target.id, pooledTarget.record);
				this._pooledTargets.delete(key);
				pooledTarget.isRemoved = true;
				disposeClientWhenIdle(pooledTarget);
			}
		}

		for (const [key, target] of listedTargets) {
			const staying = this._pooledTargets.get(key)?.record;
			if (staying === undefined) {
				this._pooledTargets.set(key, {
					record: new TargetRecord(target, now, removedRecords.get(target.id)),
					client: new TargetClient({
						host: target.host, port: target.port, getMaxConnections: () => getMaxConnections(this._service), maxResponseBytes,
					}),
					key,
					isRemoved: false,
					pendingProbe: undefined,
				});
			} else {
				this._coldTargets.updateTarget(staying, target);
			}
		}
	}

	/** Whether all targets are excluded. */
	isExhausted(excludedTargets: readonly string[]): boolean {
		return [...this._pooledTargets.values()].every(({record}) => excludedTargets.includes(record.target.id));
	}

	/** Computes the time until the first target accepts requests again, in ms: 0 when one does now, `Infinity` when no time is known. */
	computePauseMs(excludedTargets: readonly string[]): number {
		const now = this._options.clock.now();
		const candidates = this._listNotExcluded(excludedTargets);
		return candidates.length === 0 ? 0 : Math.min(...candidates.map(pooledTarget => this._availability.computeBlockedMs(pooledTarget, now)));
	}

	/** Computes the expected wait of a request for a permit while all targets are cold, in ms, behind others that wait; 0 when a target is not limited. */
	computePermitWaitMs(excludedTargets: readonly string[], aheadCount: number): number {
		const candidates = this._listNotExcluded(excludedTargets);
		return this._coldTargets.computePermitWaitMs(candidates, aheadCount, (pooledTarget, now) => this._availability.computeBlockedMs(pooledTarget, now));
	}

	/** Lists the last load report of each target; undefined for those without one. */
	listReports(now: number): ReadonlyArray<ReturnType<TargetRecord['getLoad']>> {
		return [...this._pooledTargets.values()].map(({record}) => record.getLoad(now));
	}

	/** Chooses the best target by recent load reports, without probes; undefined when none is known to have a free slot. */
	chooseFromReports(criteria: TargetCriteria): TargetChoice | undefined {
		return this._chooseBest(this._listCandidates(criteria), criteria);
	}

	/** Chooses the best target with probes: in batches, the most promising first, until one is idle; undefined when none has a free slot. */
	async chooseWithProbes(criteria: TargetCriteria): Promise<TargetChoice | undefined> {
		const now = this._options.clock.now();
		const candidates = this._listCandidates(criteria).filter(pooledTarget => !this._rater.isKnownBusy(pooledTarget, now)).slice(0, maxProbedTargets);
		let probedCount = 0;
		let best = this._chooseBest(candidates, criteria);
		while (this._rater.reportsLoad !== false && probedCount < candidates.length && best?.isIdle !== true) {
			const batch = this._sliceBatch(candidates, probedCount);
			probedCount += batch.length;
			await this._loadRefresher.refreshAll(batch);
			best = this._chooseBest(candidates, criteria);
		}

		return best;
	}

	/** Takes a slot at the chosen target; releasing the lease frees it. */
	grant({pooledTarget}: TargetChoice): TargetLease {
		const {clock, metrics, onRelease} = this._options;
		const now = clock.now();
		const lease = createTargetLease(pooledTarget, {
			rater: this._rater,
			clock,
			canSend: () => this._availability.canSend(pooledTarget, clock.now()),
			onEnd: end => {
				metrics.countEvent('target.attempts', {service: this._service.name, end});
			},
			onReport: (report, startedAt) => {
				this._applyReport(pooledTarget, report, startedAt);
			},
			onRelease,
		});
		this._coldTargets.countGrant(pooledTarget.record, now);
		this._availability.noteGrant(pooledTarget.record, now);
		return lease;
	}

	dispose(): void {
		for (const pooledTarget of this._pooledTargets.values()) {
			disposeClientWhenIdle(pooledTarget);
		}

		this._pooledTargets.clear();
	}

	/** Returns the next targets to probe. Local ones form a batch of their own, since traffic between failure domains is costly. */
	private _sliceBatch(candidates: readonly PooledTarget[], probedCount: number): PooledTarget[] {
		const batch = candidates.slice(probedCount, probedCount + probeBatchSize);
		const firstRemote = batch.findIndex(pooledTarget => !this._rater.isLocal(pooledTarget));
		return firstRemote > 0 ? batch.slice(0, firstRemote) : batch;
	}

	private _chooseBest(candidates: readonly PooledTarget[], {bodyBytes}: TargetCriteria): TargetChoice | undefined {
		const now = this._options.clock.now();
		let best: TargetChoice | undefined;
		for (const pooledTarget of candidates) {
			const isOwed = this._coldTargets.isOwed(pooledTarget.record, now);
			const isAvailable = !pooledTarget.isRemoved && this._availability.computeBlockedMs(pooledTarget, now) === 0;
			const choice = isAvailable && (!pooledTarget.record.isUnhealthy(now) || this._areAllUnhealthy(now)) ? this._rater.rate(pooledTarget, now, bodyBytes, isOwed) : undefined;
			if (isOwed && choice?.isIdle) {
				return choice;
			}

			if (choice?.hasFreeSlot && (best === undefined || choice.estimateMs < best.estimateMs)) {
				best = choice;
			}
		}

		return best;
	}

	private _listNotExcluded(excludedTargets: readonly string[]): PooledTarget[] {
		return [...this._pooledTargets.values()].filter(({record}) => !excludedTargets.includes(record.target.id));
	}

	/** Lists the targets that may have a free slot, the most promising first. */
	private _listCandidates({excludedTargets}: TargetCriteria): PooledTarget[] {
		const now = this._options.clock.now();
		const all = this._listNotExcluded(excludedTargets).filter(pooledTarget => this._availability.computeBlockedMs(pooledTarget, now) === 0);
		const healthy = all.filter(({record}) => !record.isUnhealthy(now));
		const notEjected = (healthy.length > 0 ? healthy : all).filter(({record}) => !record.isEjected(now));
		// When all targets are ejected, requests are sent to them anyway, to detect a recovery.
		return (notEjected.length > 0 ? notEjected : all)
			.filter(({record}) => record.inFlight < computeConcurrencyLimit(record.target.slots))
			.map(pooledTarget => ({pooledTarget, rank: this._rankBeforeProbe(pooledTarget, now)}))
			.sort((a, b) => a.rank - b.rank)
			.map(({pooledTarget}) => pooledTarget);
	}

	/** Ranks a target by what is known before a probe; a cold one that is owed a request comes first. */
	private _rankBeforeProbe(pooledTarget: PooledTarget, now: number): number {
		return this._rater.rankBeforeProbe(pooledTarget, now) + (this._options.random() * rankJitter) - (this._coldTargets.isOwed(pooledTarget.record, now) ? owedRankGain : 0);
	}

	private _applyReport(pooledTarget: PooledTarget, {isLeaving, pauseMs, warmUpLeftMs}: TargetReport, askedAt: number): void {
		const {clock, metrics, onLeaving} = this._options;
		if (warmUpLeftMs !== undefined) {
			this._coldTargets.recordWarmUp(pooledTarget.record, warmUpLeftMs, askedAt);
		}

		if (pauseMs > 0) {
			this._availability.addPause(pooledTarget, pauseMs, clock.now());
			metrics.countEvent('target.announcements', {service: this._service.name, kind: 'pause'});
		}

		if (isLeaving) {
			metrics.countEvent('target.announcements', {service: this._service.name, kind: 'leaving'});
			onLeaving(pooledTarget.record.target);
		}
	}

	private _areAllUnhealthy(now: number): boolean {
		return [...this._pooledTargets.values()].every(pooledTarget => pooledTarget.record.isUnhealthy(now) || this._availability.computeBlockedMs(pooledTarget, now) > 0);
	}
}
