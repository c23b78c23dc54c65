import {RequestSize} from '../../common/request-size.js';

type RuleStats = {
	meanMs: number;
	samples: number;
};

const decayFactor = 0.95;
const minSamples = 20;
const longFactor = 4;
const defaultCostMs = 10;

/** Estimates from observed slot times how long requests of a rule occupy a slot, and which rules bring long requests. */
export class RequestCostEstimator {
	private readonly _rules = new Map<string, RuleStats>();

	/** Records how long a request of a rule occupied a slot, in ms. */
	recordSlotTime(rule: string, slotTimeMs: number): void {
		const stats = this._rules.get(rule);
		if (stats === undefined) {
			this._rules.set(rule, {meanMs: slotTimeMs, samples: 1});
			return;
		}

		stats.samples++;
		stats.meanMs = (stats.meanMs * decayFactor) + (slotTimeMs * (1 - decayFactor));
	}

	/** Expected time that a request of a rule occupies a slot, in ms. */
	estimateCost(rule: string): number {
		return this._rules.get(rule)?.meanMs ?? defaultCostMs;
	}

	/** Whether a request counts as long: as declared, or, when learned, if its rule takes several times longer than the quickest rule. */
	isLong(rule: string, declared: RequestSize): boolean {
		switch (declared) {
			case RequestSize.Short: {
				return false;
			}

			case RequestSize.Long: {
				return true;
			}

			case RequestSize.Learned: {
				const stats = this._rules.get(rule);
				if (stats === undefined || stats.samples < minSamples) {
					return false;
				}

				const shortestMeanMs = Math.min(...[...this._rules.values()].filter(other => other.samples >= minSamples).map(other => other.meanMs));
				return stats.meanMs > shortestMeanMs * longFactor;
			}
		}
	}
}
