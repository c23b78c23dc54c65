import {setTimeout as sleep} from 'node:timers/promises';
import type {Clock} from '../../common/clock.js';
import {AttemptEnd} from '../../common/gateway/attempt-end.js';
import type {GatewayService} from '../../common/gateway/gateway-service.js';
import type {Metrics} from '../../common/metrics.js';
import type {RateBudget} from '../../policy/gateway/rate-budget.js';
import type {TargetPlace} from './target-place.js';
import type {TargetProber} from './target-prober.js';
import type {TargetRater} from './target-rater.js';

type TargetAskerOptions = {
	readonly service: GatewayService;
	readonly prober: TargetProber;
	readonly rater: TargetRater;
	/** Probes that this instance may send to the targets of the service. */
	readonly budget: RateBudget;
	readonly metrics: Metrics;
	readonly clock: Clock;
};

/** Time for which answers of probes are awaited, in ms: two round trips across failure domains, with the targets' own time. */
const probeWaitMs = 8;
/** The same within a failure domain, in ms. */
const localProbeWaitMs = 3;

/** Asks targets of one service for their load, within the budget of probes of the service. */
export class TargetAsker {
	constructor(private readonly _options: TargetAskerOptions) {}

	/** Asks those whose last report is not fresh and resolves when they have answered, or without the late ones. */
	async askAll(places: readonly TargetPlace[]): Promise<void> {
		const {rater, clock} = this._options;
		const waitMs = places.every(place => rater.isLocal(place)) ? localProbeWaitMs : probeWaitMs;
		const probes = places.filter(place => !rater.isFresh(place, clock.now())).map(async place => this._askOnce(place));
		if (probes.length > 0) {
			await Promise.race([Promise.all(probes), sleep(waitMs)]);
		}
	}

	private async _askOnce(place: TargetPlace): Promise<void> {
		if (place.probing === undefined && this._options.budget.tryTake(this._options.clock.now())) {
			place.probing = this._ask(place);
		}

		return place.probing;
	}

	private async _ask(place: TargetPlace): Promise<void> {
		const {clock, prober, service, rater, metrics} = this._options;
		const {record, client} = place;
		const probe = await prober.probe(client, service.healthPath, record.target.id);
		place.probing = undefined;
		metrics.countEvent('target.probes', {service: service.name, result: probe === undefined ? 'silent' : (probe.isHealthy ? 'healthy' : 'unhealthy')});
		const now = clock.now();
		if (probe === undefined) {
			record.recordSilence(now);
		} else if (probe.targetId !== undefined && probe.targetId !== record.target.id) {
			record.recordEnd(AttemptEnd.Misdirected, now);
		} else {
			record.recordHealth(probe.isHealthy, now);
			if (probe.load !== undefined || probe.isHealthy) {
				rater.recordReport(record, probe.load, now);
			}
		}
	}
}
