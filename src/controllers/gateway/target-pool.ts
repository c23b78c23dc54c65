import type {Clock} from '../../common/clock.js';
import type {DisposableLike} from '../../common/disposable-like.js';
import {AttemptEnd} from '../../common/gateway/attempt-end.js';
import type {GatewayService} from '../../common/gateway/gateway-service.js';
import type {GatewayTarget} from '../../common/gateway/gateway-target.js';
import type {Metrics} from '../../common/metrics.js';
import {TargetClient} from '../../io/gateway/target-client.js';
import {computeTargetLimit} from '../../policy/gateway/compute-target-limit.js';
import {RateBudget} from '../../policy/gateway/rate-budget.js';
import {TargetRecord} from '../../policy/gateway/target-record.js';
import type {WorkTimes} from '../../policy/gateway/work-times.js';
import {LoadRefresher} from './load-refresher.js';
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
	readonly metrics: Metrics;
	/** Connections that this instance may hold to one target at this moment. */
	readonly getMaxConnections: () => number;
	/** Bytes of an answer that are held; a longer one is not taken. */
	readonly maxResponseBytes: number;
	/** Probes that this instance may send at this moment, a second and target. */
	readonly getProbeRate: () => number;
	/** Called after a place was given back. */
	readonly onRelease: () => void;
};

/** Targets that are asked for their load when a request is placed, and how many of them at a time. */
const maxProbedTargets = 9;
const probeBatchSize = 4;
/** Largest chance part of a rank, as a factor of the usual time, so that instances do not all ask the same targets. */
const rankJitter = 0.5;
/** Time for which unused probes are saved up, in s: the bound holds over a day, and crests last some seconds. */
const probeBurstSeconds = 10;
/** Time between two checks whether a target that has left is still at work, in ms. */
const disposePollMs = 1000;

/** The targets of one service: what is known of each, probes, and the right to send to them. */
export class TargetPool implements DisposableLike {
	private readonly _pooledTargets = new Map<string, PooledTarget>();
	private readonly _rater: TargetRater;
	private readonly _loadRefresher: LoadRefresher;

	constructor(private readonly _options: TargetPoolOptions) {
		this._rater = new TargetRater(_options.failureDomain);
		// The bound is one on the mean of all targets, and those of the own failure domain are asked most.
		const budget = new RateBudget({getRate: () => _options.getProbeRate() * this.size, burstSeconds: probeBurstSeconds}, _options.clock.now());
		this._loadRefresher = new LoadRefresher({..._options, rater: this._rater, budget});
	}

	/** Averages of the time that the service's work takes. */
	get serviceTimes(): WorkTimes {
		return this._rater.serviceTimes;
	}

	get size(): number {
		return this._pooledTargets.size;
	}

	/** Requests of this instance that are at targets. */
	get inFlight(): number {
		let sum = 0;
		for (const {record} of this._pooledTargets.values()) {
			sum += record.inFlight;
		}

		return sum;
	}

	/** Takes the service's targets from the newest list; requests in flight at others go on. */
	update(targets: readonly GatewayTarget[]): void {
		const {clock, getMaxConnections, maxResponseBytes} = this._options;
		const listedTargets = new Map(targets.filter(target => !target.isLeaving).map(target => [`${target.id} ${target.startedAt}`, target]));
		const removedRecords = new Map<string, TargetRecord>();
		for (const [key, pooledTarget] of this._pooledTargets) {
			const target = listedTargets.get(key);
			if (target?.host !== pooledTarget.record.target.host || target.port !== pooledTarget.record.target.port) {
				removedRecords.set(pooledTarget.record.target.id, pooledTarget.record);
				this._pooledTargets.delete(key);
				this._disposeWhenIdle(pooledTarget);
			}
		}

		for (const [key, target] of listedTargets) {
			if (!this._pooledTargets.has(key)) {
				this._pooledTargets.set(key, {
					record: new TargetRecord(target, clock.now(), removedRecords.get(target.id)),
					client: new TargetClient({
						host: target.host, port: target.port, getMaxConnections, maxAnswerBytes: maxResponseBytes,
					}),
					pendingProbe: undefined,
				});
			}
		}
	}

	/** Whether each target is among those not to use again. */
	isExhausted(excludedTargets: readonly string[]): boolean {
		return [...this._pooledTargets.values()].every(({record}) => excludedTargets.includes(record.target.id));
	}

	/** The best of the targets whose load is known at this moment. */
	chooseFromReports(excludedTargets: readonly string[]): TargetChoice | undefined {
		return this._chooseBest(this._listCandidates(excludedTargets));
	}

	/** Asks a few targets at a time, those first that seem best, until one of them is idle; undefined when none has room. */
	async chooseWithProbes(excludedTargets: readonly string[]): Promise<TargetChoice | undefined> {
		const now = this._options.clock.now();
		const candidates = this._listCandidates(excludedTargets).filter(pooledTarget => !this._rater.isKnownBusy(pooledTarget, now)).slice(0, maxProbedTargets);
		let probedCount = 0;
		let best = this._chooseBest(candidates);
		while (this._rater.reportsLoad !== false && probedCount < candidates.length && best?.isIdle !== true) {
			const batch = this._sliceBatch(candidates, probedCount);
			probedCount += batch.length;
			await this._loadRefresher.refreshAll(batch);
			best = this._chooseBest(candidates);
		}

		return best;
	}

	/** Takes a place at a target; the lease gives it back. */
	grant({pooledTarget}: TargetChoice): TargetLease {
		const {clock, service, metrics, onRelease} = this._options;
		const {record, client} = pooledTarget;
		const startedAt = clock.now();
		const report = record.getLoad(startedAt);
		const expectedSlowdown = this._rater.computeExpectedSlowdown(pooledTarget, startedAt);
		let isReleased = false;
		record.inFlight++;
		record.addRunning();
		return {
			target: record.target,
			report,
			client,
			release: (end, load) => {
				if (isReleased) {
					return;
				}

				isReleased = true;
				record.inFlight--;
				metrics.countEvent('target.attempts', {service: service.name, end});
				const now = clock.now();
				if (load !== undefined) {
					// The report that comes with an answer still counts the answered request.
					this._rater.recordReport(record, {...load, running: Math.max(0, load.running - 1)}, now);
				}

				record.recordEnd(end, now);
				if (end === AttemptEnd.Answered) {
					record.recordSlowness((now - startedAt) / (this.serviceTimes.usualMs * expectedSlowdown), now);
					this.serviceTimes.record(now - startedAt, expectedSlowdown);
				}

				onRelease();
			},
		};
	}

	dispose(): void {
		for (const pooledTarget of this._pooledTargets.values()) {
			this._disposeWhenIdle(pooledTarget);
		}

		this._pooledTargets.clear();
	}

	/** The next targets to ask; those of the own failure domain by themselves, since bytes between domains are dear. */
	private _sliceBatch(candidates: readonly PooledTarget[], probedCount: number): PooledTarget[] {
		const batch = candidates.slice(probedCount, probedCount + probeBatchSize);
		const firstRemote = batch.findIndex(pooledTarget => !this._rater.isLocal(pooledTarget));
		return firstRemote > 0 ? batch.slice(0, firstRemote) : batch;
	}

	private _chooseBest(candidates: readonly PooledTarget[]): TargetChoice | undefined {
		const now = this._options.clock.now();
		let best: TargetChoice | undefined;
		for (const pooledTarget of candidates) {
			const choice = !pooledTarget.record.isUnhealthy(now) || this._areAllUnhealthy(now) ? this._rater.rate(pooledTarget, now) : undefined;
			if (choice?.hasFreeSlot && (best === undefined || choice.estimateMs < best.estimateMs)) {
				best = choice;
			}
		}

		return best;
	}

	/** Targets that may have room, the most promising first. */
	private _listCandidates(excludedTargets: readonly string[]): PooledTarget[] {
		const {clock, random} = this._options;
		const now = clock.now();
		const all = [...this._pooledTargets.values()].filter(({record}) => !excludedTargets.includes(record.target.id));
		const healthy = all.filter(({record}) => !record.isUnhealthy(now));
		const notEjected = (healthy.length > 0 ? healthy : all).filter(({record}) => !record.isBlocked(now));
		// With every target blocked, requests find out whether they are back.
		return (notEjected.length > 0 ? notEjected : all)
			.filter(({record}) => record.inFlight < computeTargetLimit(record.target.slots))
			.map(pooledTarget => ({pooledTarget, rank: this._rater.rankBeforeProbe(pooledTarget, now) + (random() * rankJitter)}))
			.sort((a, b) => a.rank - b.rank)
			.map(({pooledTarget}) => pooledTarget);
	}

	private _areAllUnhealthy(now: number): boolean {
		return [...this._pooledTargets.values()].every(({record}) => record.isUnhealthy(now));
	}

	private _disposeWhenIdle({record, client}: PooledTarget): void {
		const timer = setInterval(() => {
			if (record.inFlight === 0) {
				clearInterval(timer);
				client.dispose();
			}
		}, disposePollMs).unref();
	}
}
