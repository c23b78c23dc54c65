import type {Clock} from '../../common/clock.js';
import {computeConcurrencyLimit} from '../../policy/gateway/compute-concurrency-limit.js';
import type {ColdTargets} from './cold-targets.js';
import type {PooledTarget} from './pooled-target.js';
import type {TargetAvailability} from './target-availability.js';
import type {TargetChoice} from './target-choice.js';
import type {TargetCriteria} from './target-criteria.js';
import type {TargetRater} from './target-rater.js';

type TargetSelectorOptions = {
	readonly listTargets: () => Iterable<PooledTarget>;
	readonly rater: TargetRater;
	readonly coldTargets: ColdTargets;
	readonly availability: TargetAvailability;
	readonly clock: Clock;
	readonly random: () => number;
};

/** Targets that may be probed for one request. */
const maxProbedTargets = 9;
/** Largest constant addition to a rank, as a factor of the usual time. Each instance prefers other targets, so that one with little traffic reuses its connections. */
const preferenceRange = 0.4;
/** Largest random addition to a rank, as a factor of the usual time, so that a target that no instance prefers gets requests too. */
const rankJitter = 0.2;
/** Gain of rank of a cold target that is owed a request; more than the ranks of others differ. */
const owedRankGain = 1000;

/** Selects among the targets of one service by what is known of them. Changes nothing. */
export class TargetSelector {
	constructor(private readonly _options: TargetSelectorOptions) {}

	/** Chooses the best of some targets; undefined when none is known to have a free slot. A cold one that is owed a request and idle comes first. */
	chooseBest(candidates: readonly PooledTarget[], {bodyBytes}: TargetCriteria): TargetChoice | undefined {
		const {coldTargets, clock} = this._options;
		const now = clock.now();
		let best: TargetChoice | undefined;
		for (const pooledTarget of candidates) {
			const choice = this.rateUsable(pooledTarget, bodyBytes, now);
			if (choice?.isIdle && coldTargets.isOwed(pooledTarget.record, now)) {
				return choice;
			}

			if (choice?.hasFreeSlot && (best === undefined || choice.estimateMs < best.estimateMs)) {
				best = choice;
			}
		}

		return best;
	}

	/** Rates a target that may get requests; undefined for any other and when its load is not known. */
	rateUsable(pooledTarget: PooledTarget, bodyBytes: number, now: number): TargetChoice | undefined {
		const {rater, coldTargets, availability} = this._options;
		if (!rater.canRate(pooledTarget, now) || pooledTarget.isRemoved || availability.computeBlockedMs(pooledTarget, now) > 0) {
			return undefined;
		}

		return pooledTarget.record.isUnhealthy(now) && !this._areAllUnhealthy(now)
			? undefined
			: rater.rate(pooledTarget, now, bodyBytes, coldTargets.isOwed(pooledTarget.record, now));
	}

	/** Lists the targets that may have a free slot. */
	listEligible({excludedTargets}: TargetCriteria): PooledTarget[] {
		const {listTargets, availability, clock} = this._options;
		const now = clock.now();
		const all = [...listTargets()].filter(pooledTarget => !excludedTargets.includes(pooledTarget.record.target.id) && availability.computeBlockedMs(pooledTarget, now) === 0);
		const healthy = all.filter(({record}) => !record.isUnhealthy(now));
		const notEjected = (healthy.length > 0 ? healthy : all).filter(({record}) => !record.isEjected(now));
		// When all targets are ejected, requests are sent to them anyway, to detect a recovery.
		return (notEjected.length > 0 ? notEjected : all).filter(({record}) => record.inFlight < computeConcurrencyLimit(record.target.slots));
	}

	/** Lists the targets that may be probed for a request, the most promising first; those that are known to be busy are left out. */
	listCandidates(criteria: TargetCriteria): PooledTarget[] {
		const {rater, clock} = this._options;
		const now = clock.now();
		return this.listEligible(criteria)
			.filter(pooledTarget => !rater.isKnownBusy(pooledTarget, now))
			.map(pooledTarget => ({pooledTarget, rank: this._rankBeforeProbe(pooledTarget, now)}))
			.sort((a, b) => a.rank - b.rank)
			.slice(0, maxProbedTargets)
			.map(({pooledTarget}) => pooledTarget);
	}

	/** Ranks a target by what is known before a probe; a cold one that is owed a request comes first. */
	private _rankBeforeProbe(pooledTarget: PooledTarget, now: number): number {
		const {rater, coldTargets, random} = this._options;
		const spread = (pooledTarget.preference * preferenceRange) + (random() * rankJitter);
		return rater.rankBeforeProbe(pooledTarget, now) + spread - (coldTargets.isOwed(pooledTarget.record, now) ? owedRankGain : 0);
	}

	private _areAllUnhealthy(now: number): boolean {
		const {listTargets, availability} = this._options;
		return [...listTargets()].every(pooledTarget => pooledTarget.record.isUnhealthy(now) || availability.computeBlockedMs(pooledTarget, now) > 0);
	}
}
