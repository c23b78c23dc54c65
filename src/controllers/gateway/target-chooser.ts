import type {Clock} from '../../common/clock.js';
import {computeConcurrencyLimit} from '../../policy/gateway/compute-concurrency-limit.js';
import type {ColdTargets} from './cold-targets.js';
import type {LoadRefresher} from './load-refresher.js';
import type {PooledTarget} from './pooled-target.js';
import type {TargetAvailability} from './target-availability.js';
import type {TargetChoice} from './target-choice.js';
import type {TargetCriteria} from './target-criteria.js';
import type {TargetRater} from './target-rater.js';

type TargetChooserOptions = {
	readonly listTargets: () => Iterable<PooledTarget>;
	readonly rater: TargetRater;
	readonly loadRefresher: LoadRefresher;
	readonly coldTargets: ColdTargets;
	readonly availability: TargetAvailability;
	readonly clock: Clock;
	readonly random: () => number;
};

/** Targets that may be probed for one request. */
const maxProbedTargets = 9;
/** Targets that are probed at the same time for one request. */
const probeBatchSize = 2;
/** Largest constant addition to a rank, as a factor of the usual time. Each instance prefers other targets, so that one with little traffic reuses its connections. */
const preferenceRange = 0.4;
/** Largest random addition to a rank, as a factor of the usual time, so that a target that no instance prefers gets requests too. */
const rankJitter = 0.2;
/** Gain of rank of a cold target that is owed a request; more than the ranks of others differ. */
const owedRankGain = 1000;

/** Chooses among the targets of one service for each request, from load reports or with probes. */
export class TargetChooser {
	constructor(private readonly _options: TargetChooserOptions) {}

	/** Chooses the best target by recent load reports, without probes; undefined when none is known to have a free slot. */
	chooseFromReports(criteria: TargetCriteria): TargetChoice | undefined {
		return this._chooseBest(this._listEligible(criteria), criteria);
	}

	/** Chooses the best target with probes: in batches, the most promising first, until one is idle; undefined when none has a free slot. */
	async chooseWithProbes(criteria: TargetCriteria): Promise<TargetChoice | undefined> {
		const {rater, loadRefresher, clock} = this._options;
		const now = clock.now();
		const candidates = this._listCandidates(criteria).filter(pooledTarget => !rater.isKnownBusy(pooledTarget, now)).slice(0, maxProbedTargets);
		let probedCount = 0;
		let best = this._chooseBest(candidates, criteria);
		while (rater.reportsLoad !== false && probedCount < candidates.length && best?.isIdle !== true) {
			const batch = this._sliceBatch(candidates, probedCount);
			probedCount += batch.length;
			await loadRefresher.refreshAll(batch);
			best = this._chooseBest(candidates, criteria);
		}

		return best;
	}

	/**
	Rates a chosen target again, and chooses another one when it is no longer idle. Requests that await the same probes choose before one of them
	is granted a slot, so the last slot or the permit of a cold target would be granted to all of them.
	*/
	confirmChoice({pooledTarget}: TargetChoice, criteria: TargetCriteria): TargetChoice | undefined {
		const confirmed = this._chooseBest([pooledTarget], criteria);
		return confirmed?.isIdle === true ? confirmed : this.chooseFromReports(criteria);
	}

	/** Returns the next targets to probe. Local ones form a batch of their own, since traffic between failure domains is costly. */
	private _sliceBatch(candidates: readonly PooledTarget[], probedCount: number): PooledTarget[] {
		const batch = candidates.slice(probedCount, probedCount + probeBatchSize);
		const firstRemote = batch.findIndex(pooledTarget => !this._options.rater.isLocal(pooledTarget));
		return firstRemote > 0 ? batch.slice(0, firstRemote) : batch;
	}

	private _chooseBest(candidates: readonly PooledTarget[], {bodyBytes}: TargetCriteria): TargetChoice | undefined {
		const {rater, coldTargets, availability, clock} = this._options;
		const now = clock.now();
		let best: TargetChoice | undefined;
		for (const pooledTarget of candidates) {
			if (!rater.canRate(pooledTarget, now)) {
				continue;
			}

			const isOwed = coldTargets.isOwed(pooledTarget.record, now);
			const isAvailable = !pooledTarget.isRemoved && availability.computeBlockedMs(pooledTarget, now) === 0;
			const choice = isAvailable && (!pooledTarget.record.isUnhealthy(now) || this._areAllUnhealthy(now)) ? rater.rate(pooledTarget, now, bodyBytes, isOwed) : undefined;
			if (isOwed && choice?.isIdle) {
				return choice;
			}

			if (choice?.hasFreeSlot && (best === undefined || choice.estimateMs < best.estimateMs)) {
				best = choice;
			}
		}

		return best;
	}

	/** Lists the targets that may have a free slot. */
	private _listEligible({excludedTargets}: TargetCriteria): PooledTarget[] {
		const {listTargets, availability, clock} = this._options;
		const now = clock.now();
		const all = [...listTargets()].filter(pooledTarget => !excludedTargets.includes(pooledTarget.record.target.id) && availability.computeBlockedMs(pooledTarget, now) === 0);
		const healthy = all.filter(({record}) => !record.isUnhealthy(now));
		const notEjected = (healthy.length > 0 ? healthy : all).filter(({record}) => !record.isEjected(now));
		// When all targets are ejected, requests are sent to them anyway, to detect a recovery.
		return (notEjected.length > 0 ? notEjected : all).filter(({record}) => record.inFlight < computeConcurrencyLimit(record.target.slots));
	}

	/** Lists the targets that may have a free slot, the most promising first. */
	private _listCandidates(criteria: TargetCriteria): PooledTarget[] {
		const now = this._options.clock.now();
		return this._listEligible(criteria)
			.map(pooledTarget => ({pooledTarget, rank: this._rankBeforeProbe(pooledTarget, now)}))
			.sort((a, b) => a.rank - b.rank)
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
