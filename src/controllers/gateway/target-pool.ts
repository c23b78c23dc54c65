import type {Clock} from '../../common/clock.js';
import type {DisposableLike} from '../../common/disposable-like.js';
import type {GatewayService} from '../../common/gateway/gateway-service.js';
import type {GatewayTarget} from '../../common/gateway/gateway-target.js';
import type {TargetReport} from '../../common/gateway/target-report.js';
import type {Logger} from '../../common/logger.js';
import type {Metrics} from '../../common/metrics.js';
import {TargetClient} from '../../io/gateway/target-client.js';
import type {ColdTargetOwners} from '../../policy/gateway/cold-target-owners.js';
import {rankMember} from '../../policy/gateway/rank-member.js';
import {RateLimiter} from '../../policy/gateway/rate-limiter.js';
import type {TargetGuard} from '../../policy/gateway/target-guard.js';
import {TargetRecord} from '../../policy/gateway/target-record.js';
import type {ServiceTimeAverages} from '../../policy/gateway/service-time-averages.js';
import {ColdTargets} from './cold-targets.js';
import {createTargetLease} from './create-target-lease.js';
import {disposeClientWhenIdle} from './dispose-client-when-idle.js';
import {LoadRefresher} from './load-refresher.js';
import {TargetAvailability} from './target-availability.js';
import {TargetChooser} from './target-chooser.js';
import type {TargetCriteria} from './target-criteria.js';
import type {TargetChoice} from './target-choice.js';
import type {TargetLease} from './target-lease.js';
import type {PooledTarget} from './pooled-target.js';
import type {TargetProber} from './target-prober.js';
import {TargetPreview} from './target-preview.js';
import {TargetRater} from './target-rater.js';
import {TargetSelector} from './target-selector.js';
import {TargetWaits} from './target-waits.js';

type TargetPoolOptions = {
	readonly service: GatewayService;
	readonly instanceId: string;
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

/** Number of values of a rank of rendezvous hashing. */
const hashRange = 2 ** 32;
/** Time for which unused probes accumulate, in s. The limit is on the long-term average, over a day, and load peaks last some seconds. */
const probeBurstSeconds = 10;

/** The targets of one service. Chooses a target for each request, from load reports or with probes, and leases its slots. */
export class TargetPool implements DisposableLike {
	private readonly _pooledTargets = new Map<string, PooledTarget>();
	private readonly _rater: TargetRater;
	private readonly _coldTargets: ColdTargets;
	private readonly _availability: TargetAvailability;
	private readonly _probeBudget: RateLimiter;
	private readonly _chooser: TargetChooser;
	private readonly _waits: TargetWaits;
	private _service: GatewayService;

	constructor(private readonly _options: TargetPoolOptions) {
		this._service = _options.service;
		this._rater = new TargetRater(_options.failureDomain);
		this._coldTargets = new ColdTargets(_options, () => this._service);
		this._availability = new TargetAvailability([..._options.guards ?? [], ...this._coldTargets.guards]);
		// The limit is per target on average, so the budget is shared by all targets of the service; those in the own failure domain are probed most.
		this._probeBudget = new RateLimiter({getRate: () => _options.getProbeRate() * this.size, burstSeconds: probeBurstSeconds}, _options.clock.now());
		const loadRefresher = new LoadRefresher({
			..._options,
			rater: this._rater,
			budget: this._probeBudget,
			getService: () => this._service,
			onReport: (pooledTarget, report, askedAt) => {
				this._applyReport(pooledTarget, report, askedAt);
			},
		});
		const parts = {
			listTargets: () => this._pooledTargets.values(), rater: this._rater, coldTargets: this._coldTargets, availability: this._availability, clock: _options.clock, random: _options.random,
		};
		this._chooser = new TargetChooser({selector: new TargetSelector(parts), rater: this._rater, loadRefresher});
		this._waits = new TargetWaits(parts);
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
					preference: rankMember(target.id, this._options.instanceId) / hashRange,
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
		return this._waits.isExhausted(excludedTargets);
	}

	/** Computes the time until the first target accepts requests again, in ms: 0 when one does now, `Infinity` when no time is known. */
	computePauseMs(excludedTargets: readonly string[]): number {
		return this._waits.computePauseMs(excludedTargets);
	}

	/** Computes the expected wait of a request for a permit while all targets are cold, in ms, behind others that wait; 0 when a target is not limited. */
	computePermitWaitMs(excludedTargets: readonly string[], aheadCount: number): number {
		return this._waits.computePermitWaitMs(excludedTargets, aheadCount);
	}

	/**
	Creates the view of the targets on which a dry run decides; nothing that it does has an effect on the pool.
	@param owners - Copy of the owners of cold targets, if there are any.
	*/
	createPreview(owners: TargetPoolOptions['coldTargetOwners']): TargetPreview {
		const {clock, guards = []} = this._options;
		const coldTargets = this._coldTargets.createCopy(owners);
		return new TargetPreview({
			listTargets: () => this._pooledTargets.values(),
			rater: this._rater,
			coldTargets,
			availability: this._availability.createWithGuards([...guards, ...coldTargets.guards]),
			probeBudget: this._probeBudget.createCopy(),
			clock,
		});
	}

	/** Lists the last load report of each target; undefined for those without one. */
	listReports(now: number): ReadonlyArray<ReturnType<TargetRecord['getLoad']>> {
		return [...this._pooledTargets.values()].map(({record}) => record.getLoad(now));
	}

	/** Chooses the best target by recent load reports, without probes; undefined when none is known to have a free slot. */
	chooseFromReports(criteria: TargetCriteria): TargetChoice | undefined {
		return this._chooser.chooseFromReports(criteria);
	}

	/** Chooses the best target with probes: in batches, the most promising first, until one is idle; undefined when none has a free slot. */
	async chooseWithProbes(criteria: TargetCriteria): Promise<TargetChoice | undefined> {
		return this._chooser.chooseWithProbes(criteria);
	}

	/** Rates a target again that was chosen before others could be granted slots; chooses another one when it is no longer idle. */
	confirmChoice(choice: TargetChoice, criteria: TargetCriteria): TargetChoice | undefined {
		return this._chooser.confirmChoice(choice, criteria);
	}

	/** Takes a slot at the chosen target; releasing the lease frees it. */
	grant({pooledTarget}: TargetChoice): TargetLease {
		const {clock, metrics, onRelease} = this._options;
		const now = clock.now();
		const lease = createTargetLease(pooledTarget, {
			rater: this._rater,
			clock,
			canSend: () => this._availability.canSend(pooledTarget, now, clock.now()),
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
}
