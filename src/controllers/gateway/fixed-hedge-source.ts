import type {Metrics} from '../../common/metrics.js';
import {AttemptEnd} from '../../common/gateway/attempt-end.js';
import type {HedgeOffer} from './hedge-offer.js';
import type {HedgeRequest} from './hedge-request.js';
import type {HedgeSource} from './hedge-source.js';
import type {PlacementController} from './placement-controller.js';

type FixedHedgeSourceOptions = {
	readonly placement: Pick<PlacementController, 'tryAcquire' | 'tryTakeRetry'>;
	readonly metrics: Metrics;
};

/** Fraction of a route's objective after which an idempotent request is also sent to a second, idle target. */
const hedgeDelayFraction = 0.6;
/** Fraction of the objective after which an idle target is looked for again if there was none. */
const hedgeRecheckFraction = 0.2;

/** Grants hedges after a fixed part of the objective, limited by the retry budget alone; for sites without a limit of their own. */
export class FixedHedgeSource implements HedgeSource {
	constructor(private readonly _options: FixedHedgeSourceOptions) {}

	get isOff(): boolean {
		return false;
	}

	addRequest(): void {
		// The retry budget counts requests itself.
	}

	getStartDelayMs(objectiveMs: number): number {
		return objectiveMs * hedgeDelayFraction;
	}

	notePlaced(): undefined {
		return undefined;
	}

	async tryAcquire({placement, objectiveMs}: HedgeRequest): Promise<HedgeOffer> {
		// A hedge does not speed up a request that still waits for its first target.
		const lease = placement.excludedTargets.length === 0 ? undefined : await this._options.placement.tryAcquire(placement);
		if (lease === undefined || placement.signal.aborted || !this._options.placement.tryTakeRetry(placement.service)) {
			lease?.release(AttemptEnd.Unused);
			return {kind: 'later', delayMs: objectiveMs * hedgeRecheckFraction};
		}

		return {kind: 'granted', lease};
	}

	recordFirstEnd(): void {
		// The delay does not depend on durations.
	}

	countHedge(service: string, result: string): void {
		this._options.metrics.countEvent('request.hedges', {service, result});
	}
}
