import type {Clock} from '../../common/clock.js';
import {ExclusionReason} from '../../common/gateway/exclusion-reason.js';
import type {TargetExplanation} from '../../common/gateway/target-explanation.js';
import {computeConcurrencyLimit} from '../../policy/gateway/compute-concurrency-limit.js';
import type {RateLimiter} from '../../policy/gateway/rate-limiter.js';
import type {ServiceTimeAverages} from '../../policy/gateway/service-time-averages.js';
import type {ColdTargets} from './cold-targets.js';
import type {PooledTarget} from './pooled-target.js';
import type {TargetAvailability} from './target-availability.js';
import type {TargetChoice} from './target-choice.js';
import type {TargetCriteria} from './target-criteria.js';
import type {TargetRater} from './target-rater.js';
import {TargetSelector} from './target-selector.js';
import type {TargetSurvey} from './target-survey.js';
import {TargetWaits} from './target-waits.js';

type TargetPreviewOptions = {
	readonly listTargets: () => Iterable<PooledTarget>;
	readonly rater: TargetRater;
	/** A copy, since its decisions note what they asked for. */
	readonly coldTargets: ColdTargets;
	/** With the guards of that copy. */
	readonly availability: TargetAvailability;
	/** A copy of the limit of probes. */
	readonly probeBudget: RateLimiter;
	readonly clock: Clock;
};

/** Targets that are listed for one service, so that the response stays small. */
const maxListedTargets = 20;

/** The targets of one service as a dry run sees them. Decides as the pool does, but grants no slot, probes no target and counts nothing. */
export class TargetPreview {
	private readonly _selector: TargetSelector;
	private readonly _waits: TargetWaits;

	constructor(private readonly _options: TargetPreviewOptions) {
		// Without the random part of the ranks, two answers in the same state are the same.
		this._selector = new TargetSelector({..._options, random: () => 0});
		this._waits = new TargetWaits(_options);
	}

	/** Average durations of the service's requests. */
	get serviceTimes(): ServiceTimeAverages {
		return this._options.rater.serviceTimes;
	}

	/** Number of targets. */
	get size(): number {
		return [...this._options.listTargets()].length;
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

	/** Describes the targets that a request may be sent to, in the order of preference, and counts the others. */
	describeTargets(criteria: TargetCriteria): TargetSurvey {
		const {listTargets, coldTargets, clock} = this._options;
		const now = clock.now();
		const eligible = this._selector.listEligible(criteria);
		const eligibleSet = new Set(eligible);
		const candidates = this._selector.listCandidates(criteria);
		const known: TargetChoice[] = [];
		const exclusions: Partial<Record<ExclusionReason, number>> = {};
		const unknown = new Set<PooledTarget>();
		for (const pooledTarget of listTargets()) {
			const choice = eligibleSet.has(pooledTarget) ? this._selector.rateUsable(pooledTarget, criteria.bodyBytes, now) : undefined;
			if (choice?.hasFreeSlot) {
				known.push(choice);
			} else if (choice === undefined && candidates.includes(pooledTarget) && this._isProbeUseful(pooledTarget, now)) {
				unknown.add(pooledTarget);
			} else {
				const reason = this._findExclusion(pooledTarget, eligibleSet.has(pooledTarget), now);
				exclusions[reason] = (exclusions[reason] ?? 0) + 1;
			}
		}

		const rankKnown = ({pooledTarget, isIdle, estimateMs}: TargetChoice) => isIdle && coldTargets.isOwed(pooledTarget.record, now) ? Number.NEGATIVE_INFINITY : estimateMs;
		const targets = [
			...known.sort((a, b) => rankKnown(a) - rankKnown(b)).map(choice => this._describeTarget(choice.pooledTarget, choice, now)),
			...candidates.filter(pooledTarget => unknown.has(pooledTarget)).map(pooledTarget => this._describeTarget(pooledTarget, undefined, now)),
		];
		return {
			targets: targets.slice(0, maxListedTargets),
			candidateCount: targets.length,
			exclusions,
			best: this._selector.chooseBest(eligible, criteria),
			hasKnownCandidate: this._selector.chooseBest(candidates, criteria) !== undefined,
			canProbe: this._canProbe(candidates, now),
		};
	}

	private _isProbeUseful(pooledTarget: PooledTarget, now: number): boolean {
		const {rater} = this._options;
		return rater.reportsLoad !== false && !rater.isFresh(pooledTarget, now);
	}

	private _canProbe(candidates: readonly PooledTarget[], now: number): boolean {
		const probed = candidates.filter(pooledTarget => this._isProbeUseful(pooledTarget, now));
		return probed.some(({pendingProbe}) => pendingProbe !== undefined) || (probed.length > 0 && this._options.probeBudget.tryTake(now));
	}

	private _findExclusion(pooledTarget: PooledTarget, isEligible: boolean, now: number): ExclusionReason {
		const {availability, rater} = this._options;
		const {record} = pooledTarget;
		const block = availability.findBlock(pooledTarget, now);
		if (block !== undefined) {
			return block.reason;
		}

		if (!isEligible) {
			return record.isUnhealthy(now) ? ExclusionReason.Unhealthy : (record.isEjected(now) ? ExclusionReason.Ejected : ExclusionReason.Full);
		}

		if (this._countFreeSlots(pooledTarget, now) === 0) {
			return ExclusionReason.Full;
		}

		if (rater.isKnownBusy(pooledTarget, now)) {
			return ExclusionReason.Slowed;
		}

		return record.isUnhealthy(now) ? ExclusionReason.Unhealthy : ExclusionReason.ProbeLimit;
	}

	private _countFreeSlots({record}: PooledTarget, now: number): number {
		const load = record.getLoad(now)?.load;
		const occupied = Math.max(record.inFlight, load === undefined ? 0 : load.running + load.waiting);
		return Math.max(0, computeConcurrencyLimit(load?.slots ?? record.target.slots) - occupied);
	}

	private _describeTarget(pooledTarget: PooledTarget, choice: TargetChoice | undefined, now: number): TargetExplanation {
		const {record, client} = pooledTarget;
		const reported = record.getLoad(now);
		return {
			id: record.target.id,
			failureDomain: record.target.failureDomain,
			isLocal: this._options.rater.isLocal(pooledTarget),
			freeSlots: this._countFreeSlots(pooledTarget, now),
			reportAgeMs: reported?.ageMs,
			slowdown: reported?.load.slowdown,
			durationRatio: record.getDurationRatio(now),
			failureRate: record.failureRate,
			hasIdleConnection: client.hasIdleConnection,
			isCold: record.isWarming(now),
			estimateMs: choice?.estimateMs,
			isIdle: choice?.isIdle === true,
		};
	}
}
