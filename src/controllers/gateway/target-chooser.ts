import type {LoadRefresher} from './load-refresher.js';
import type {PooledTarget} from './pooled-target.js';
import type {TargetChoice} from './target-choice.js';
import type {TargetCriteria} from './target-criteria.js';
import type {TargetRater} from './target-rater.js';
import type {TargetSelector} from './target-selector.js';

type TargetChooserOptions = {
	readonly selector: TargetSelector;
	readonly rater: TargetRater;
	readonly loadRefresher: LoadRefresher;
};

/** Targets that are probed at the same time for one request. */
const probeBatchSize = 2;

/** Chooses among the targets of one service for each request, from load reports or with probes. */
export class TargetChooser {
	constructor(private readonly _options: TargetChooserOptions) {}

	/** Chooses the best target by recent load reports, without probes; undefined when none is known to have a free slot. */
	chooseFromReports(criteria: TargetCriteria): TargetChoice | undefined {
		const {selector, rater} = this._options;
		// Without load reports, the order by rank decides among targets with equal estimates.
		return selector.chooseBest(rater.reportsLoad === true ? selector.listEligible(criteria) : selector.listCandidates(criteria), criteria);
	}

	/** Chooses the best target with probes: in batches, the most promising first, until one is idle; undefined when none has a free slot. */
	async chooseWithProbes(criteria: TargetCriteria): Promise<TargetChoice | undefined> {
		const {selector, rater, loadRefresher} = this._options;
		const candidates = selector.listCandidates(criteria);
		let probedCount = 0;
		let best = selector.chooseBest(candidates, criteria);
		while (rater.reportsLoad !== false && probedCount < candidates.length && best?.isIdle !== true) {
			const batch = this._sliceBatch(candidates, probedCount);
			probedCount += batch.length;
			await loadRefresher.refreshAll(batch);
			best = selector.chooseBest(candidates, criteria);
		}

		return best;
	}

	/**
	Rates a chosen target again, and chooses another one when it is no longer idle. Requests that await the same probes choose before one of them
	is granted a slot, so the last slot or the permit of a cold target would be granted to all of them.
	*/
	confirmChoice({pooledTarget}: TargetChoice, criteria: TargetCriteria): TargetChoice | undefined {
		const {selector, rater} = this._options;
		const confirmed = selector.chooseBest([pooledTarget], criteria);
		return confirmed !== undefined && (confirmed.isIdle || rater.reportsLoad !== true) ? confirmed : this.chooseFromReports(criteria);
	}

	/** Returns the next targets to probe. Local ones form a batch of their own, since traffic between failure domains is costly. */
	private _sliceBatch(candidates: readonly PooledTarget[], probedCount: number): PooledTarget[] {
		const batch = candidates.slice(probedCount, probedCount + probeBatchSize);
		const firstRemote = batch.findIndex(pooledTarget => !this._options.rater.isLocal(pooledTarget));
		return firstRemote > 0 ? batch.slice(0, firstRemote) : batch;
	}
}
