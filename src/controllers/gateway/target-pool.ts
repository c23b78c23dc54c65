import type {Clock} from '../../common/clock.js';
import type {DisposableLike} from '../../common/disposable-like.js';
import {AttemptEnd} from '../../common/gateway/attempt-end.js';
import type {GatewayService} from '../../common/gateway/gateway-service.js';
import type {GatewayTarget} from '../../common/gateway/gateway-target.js';
import type {TargetReport} from '../../common/gateway/target-report.js';
import type {Logger} from '../../common/logger.js';
import type {Metrics} from '../../common/metrics.js';
import {TargetClient} from '../../io/gateway/target-client.js';
import {computeConcurrencyLimit} from '../../policy/gateway/compute-concurrency-limit.js';
import {RateLimiter} from '../../policy/gateway/rate-limiter.js';
import type {TargetGuard} from '../../policy/gateway/target-guard.js';
import {TargetPauses} from '../../policy/gateway/target-pauses.js';
import {TargetRecord} from '../../policy/gateway/target-record.js';
import type {ServiceTimeAverages} from '../../policy/gateway/service-time-averages.js';
import {disposeClientWhenIdle} from './dispose-client-when-idle.js';
import {LoadRefresher} from './load-refresher.js';
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
/** Time for which unused probes accumulate, in s. The limit is on the long-term average, over a day, and load peaks last some seconds. */
const probeBurstSeconds = 10;

/** The targets of one service. Chooses a target for each request, from load reports or with probes, and leases its slots. */
export class TargetPool implements DisposableLike {
	private readonly _pooledTargets = new Map<string, PooledTarget>();
	private readonly _rater: TargetRater;
	private readonly _loadRefresher: LoadRefresher;
	private readonly _pauses = new TargetPauses();
	private _service: GatewayService;

	constructor(private readonly _options: TargetPoolOptions) {
		this._service = _options.service;
		this._rater = new TargetRater(_options.failureDomain);
		// The limit is per target on average, so the budget is shared by all targets of the service; those in the own failure domain are probed most.
		const budget = new RateLimiter({getRate: () => _options.getProbeRate() * this.size, burstSeconds: probeBurstSeconds}, _options.clock.now());
		this._loadRefresher = new LoadRefresher({
			..._options,
			rater: this._rater,
			budget,
			getService: () => this._service,
			onReport: (pooledTarget, report) => {
				this._applyReport(pooledTarget, report);
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
		return this._pauses.size;
	}

	/** Requests of this instance that are in flight at targets. */
	get inFlight(): number {
		let sum = 0;
		for (const {record} of this._pooledTargets.values()) {
			sum += record.inFlight;
		}

		return sum;
	}

	/** Applies a changed health path or limit of the service. */
	setService(service: GatewayService): void {
		this._service = service;
	}

	/** Replaces the targets by those of a newer list; requests in flight at removed targets continue. */
	update(targets: readonly GatewayTarget[]): void {
		const {clock, getMaxConnections, maxResponseBytes} = this._options;
		this._pauses.evictEnded(clock.now());
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
			if (!this._pooledTargets.has(key)) {
				this._pooledTargets.set(key, {
					record: new TargetRecord(target, clock.now(), removedRecords.get(target.id)),
					client: new TargetClient({
						host: target.host, port: target.port, getMaxConnections: () => getMaxConnections(this._service), maxResponseBytes,
					}),
					key,
					isRemoved: false,
					pendingProbe: undefined,
				});
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
		const candidates = [...this._pooledTargets.values()].filter(({record}) => !excludedTargets.includes(record.target.id));
		return candidates.length === 0 ? 0 : Math.min(...candidates.map(pooledTarget => this._computeBlockedMs(pooledTarget, now)));
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
		const {record, client} = pooledTarget;
		const startedAt = clock.now();
		const report = record.getLoad(startedAt);
		const expectedSlowdown = this._rater.computeExpectedSlowdown(pooledTarget, startedAt);
		let isReleased = false;
		record.inFlight++;
		record.addRunning();
		for (const guard of this._guards) {
			guard.noteGrant(record, startedAt);
		}

		return {
			target: record.target,
			report,
			client,
			canSend: () => this._canSend(pooledTarget, clock.now()),
			release: (end, targetReport) => {
				if (isReleased) {
					return;
				}

				isReleased = true;
				record.inFlight--;
				metrics.countEvent('target.attempts', {service: this._service.name, end});
				const now = clock.now();
				if (targetReport?.load !== undefined) {
					// A report in a response still counts the request that the response answers.
					this._rater.recordReport(record, {...targetReport.load, running: Math.max(0, targetReport.load.running - 1)}, now);
				}

				record.recordEnd(end, now);
				if (targetReport !== undefined) {
					this._applyReport(pooledTarget, targetReport);
				}

				if (end === AttemptEnd.Answered) {
					record.recordDurationRatio((now - startedAt) / (this.serviceTimes.usualMs * expectedSlowdown), now);
					this.serviceTimes.record(now - startedAt, expectedSlowdown);
				}

				onRelease();
			},
		};
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
			const isAvailable = !pooledTarget.isRemoved && this._computeBlockedMs(pooledTarget, now) === 0;
			const choice = isAvailable && (!pooledTarget.record.isUnhealthy(now) || this._areAllUnhealthy(now)) ? this._rater.rate(pooledTarget, now, bodyBytes) : undefined;
			if (choice?.hasFreeSlot && (best === undefined || choice.estimateMs < best.estimateMs)) {
				best = choice;
			}
		}

		return best;
	}

	/** Lists the targets that may have a free slot, the most promising first. */
	private _listCandidates({excludedTargets}: TargetCriteria): PooledTarget[] {
		const {clock, random} = this._options;
		const now = clock.now();
		const all = [...this._pooledTargets.values()].filter(pooledTarget => !excludedTargets.includes(pooledTarget.record.target.id) && this._computeBlockedMs(pooledTarget, now) === 0);
		const healthy = all.filter(({record}) => !record.isUnhealthy(now));
		const notEjected = (healthy.length > 0 ? healthy : all).filter(({record}) => !record.isEjected(now));
		// When all targets are ejected, requests are sent to them anyway, to detect a recovery.
		return (notEjected.length > 0 ? notEjected : all)
			.filter(({record}) => record.inFlight < computeConcurrencyLimit(record.target.slots))
			.map(pooledTarget => ({pooledTarget, rank: this._rater.rankBeforeProbe(pooledTarget, now) + (random() * rankJitter)}))
			.sort((a, b) => a.rank - b.rank)
			.map(({pooledTarget}) => pooledTarget);
	}

	private get _guards(): readonly TargetGuard[] {
		return this._options.guards ?? [];
	}

	private _canSend({isRemoved, key, record}: PooledTarget, now: number): boolean {
		return !isRemoved && this._pauses.getRemainingMs(key, now) === 0 && this._guards.every(guard => guard.canSend(record, now));
	}

	/** Computes the time until a target may be chosen, in ms. */
	private _computeBlockedMs({key, record}: PooledTarget, now: number): number {
		return Math.max(this._pauses.getRemainingMs(key, now), ...this._guards.map(guard => guard.computeBlockedMs(record, now)));
	}

	private _applyReport(pooledTarget: PooledTarget, {isLeaving, pauseMs}: TargetReport): void {
		const {clock, metrics, onLeaving} = this._options;
		if (pauseMs > 0) {
			this._pauses.add(pooledTarget.key, pauseMs, clock.now());
			metrics.countEvent('target.announcements', {service: this._service.name, kind: 'pause'});
		}

		if (isLeaving) {
			metrics.countEvent('target.announcements', {service: this._service.name, kind: 'leaving'});
			onLeaving(pooledTarget.record.target);
		}
	}

	private _areAllUnhealthy(now: number): boolean {
		return [...this._pooledTargets.values()].every(pooledTarget => pooledTarget.record.isUnhealthy(now) || this._computeBlockedMs(pooledTarget, now) > 0);
	}
}
