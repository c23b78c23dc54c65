import {RequestSize} from '../../common/request-size.js';

type RuleHistory = {
	meanMs: number;
	samples: number;
};

const memory = 0.95;
const minSamples = 20;
const longFactor = 4;
const defaultMs = 10;

/** Learns from occupied time which rules bring long requests, and how long a request of a rule takes. */
export class SizeLearner {
	private readonly _rules = new Map<string, RuleHistory>();

	/** Records for how long a request of a rule occupied a slot. */
	recordOccupied(rule: string, occupiedMs: number): void {
		const history = this._rules.get(rule);
		if (history === undefined) {
			this._rules.set(rule, {meanMs: occupiedMs, samples: 1});
			return;
		}

		history.samples++;
		history.meanMs = (history.meanMs * memory) + (occupiedMs * (1 - memory));
	}

	/** Expected time in a slot, in ms. */
	estimateCost(rule: string): number {
		return this._rules.get(rule)?.meanMs ?? defaultMs;
	}

	/** Whether a request counts as long: as declared, or learned when its rule takes several times longer than the quickest. */
	isLong(rule: string, declared: RequestSize): boolean {
		switch (declared) {
			case RequestSize.Short: {
				return false;
			}

			case RequestSize.Long: {
				return true;
			}

			case RequestSize.Learned: {
				const history = this._rules.get(rule);
				if (history === undefined || history.samples < minSamples) {
					return false;
				}

				const quickest = Math.min(...[...this._rules.values()].filter(other => other.samples >= minSamples).map(other => other.meanMs));
				return history.meanMs > quickest * longFactor;
			}
		}
	}
}
