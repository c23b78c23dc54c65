import type {Clock} from '../../common/clock.js';
import type {ColdTargets} from './cold-targets.js';
import type {PooledTarget} from './pooled-target.js';
import type {TargetAvailability} from './target-availability.js';

type TargetWaitsOptions = {
	readonly listTargets: () => Iterable<PooledTarget>;
	readonly coldTargets: ColdTargets;
	readonly availability: TargetAvailability;
	readonly clock: Clock;
};

/** Computes how long requests wait until a target of one service accepts them, whatever its load. */
export class TargetWaits {
	constructor(private readonly _options: TargetWaitsOptions) {}

	/** Whether all targets are excluded. */
	isExhausted(excludedTargets: readonly string[]): boolean {
		return this._listNotExcluded(excludedTargets).length === 0;
	}

	/** Computes the time until the first target accepts requests again, in ms: 0 when one does now, `Infinity` when no time is known. */
	computePauseMs(excludedTargets: readonly string[]): number {
		const {listTargets, availability, clock} = this._options;
		const now = clock.now();
		let shortestMs: number | undefined;
		// Runs for each request and each slot that is freed, and the first target is mostly available.
		for (const pooledTarget of listTargets()) {
			if (!excludedTargets.includes(pooledTarget.record.target.id)) {
				shortestMs = Math.min(shortestMs ?? Number.POSITIVE_INFINITY, availability.computeBlockedMs(pooledTarget, now));
				if (shortestMs === 0) {
					return 0;
				}
			}
		}

		return shortestMs ?? 0;
	}

	/** Computes the expected wait of a request for a permit while all targets are cold, in ms, behind others that wait; 0 when a target is not limited. */
	computePermitWaitMs(excludedTargets: readonly string[], aheadCount: number): number {
		const {coldTargets, availability} = this._options;
		return coldTargets.computePermitWaitMs(this._listNotExcluded(excludedTargets), aheadCount, (pooledTarget, now) => availability.computeBlockedMs(pooledTarget, now));
	}

	private _listNotExcluded(excludedTargets: readonly string[]): PooledTarget[] {
		return [...this._options.listTargets()].filter(({record}) => !excludedTargets.includes(record.target.id));
	}
}
