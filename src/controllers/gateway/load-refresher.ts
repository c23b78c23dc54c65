import {setImmediate as waitForImmediate, setTimeout as sleep} from 'node:timers/promises';
import type {Clock} from '../../common/clock.js';
import {AttemptEnd} from '../../common/gateway/attempt-end.js';
import type {GatewayService} from '../../common/gateway/gateway-service.js';
import type {TargetReport} from '../../common/gateway/target-report.js';
import type {Logger} from '../../common/logger.js';
import type {Metrics} from '../../common/metrics.js';
import {runTask} from '../../io/run-task.js';
import type {RateLimiter} from '../../policy/gateway/rate-limiter.js';
import type {PooledTarget} from './pooled-target.js';
import type {TargetProber} from './target-prober.js';
import type {TargetRater} from './target-rater.js';

type LoadRefresherOptions = {
	readonly getService: () => GatewayService;
	readonly prober: TargetProber;
	readonly rater: TargetRater;
	/** Limits the rate of probes to the targets of the service. */
	readonly budget: RateLimiter;
	readonly logger: Logger;
	readonly metrics: Metrics;
	readonly clock: Clock;
	/** Called with what a target said of itself in the response to a probe, and the time at which it was asked. */
	readonly onReport: (pooledTarget: PooledTarget, report: TargetReport, askedAt: number) => void;
};

/** Longest wait for the responses to probes, in ms: two round trips between failure domains and the processing time of the targets. */
const remoteProbeWaitMs = 8;
/** Longest wait when all probed targets are in this instance's failure domain, in ms. */
const localProbeWaitMs = 3;

/** Refreshes the load reports of one service's targets with probes, within the probe budget of the service. */
export class LoadRefresher {
	constructor(private readonly _options: LoadRefresherOptions) {}

	/** Probes the targets without a fresh report and resolves when all have responded or the longest wait is over. */
	async refreshAll(pooledTargets: readonly PooledTarget[]): Promise<void> {
		const {rater, clock} = this._options;
		const waitMs = pooledTargets.every(pooledTarget => rater.isLocal(pooledTarget)) ? localProbeWaitMs : remoteProbeWaitMs;
		const probes = pooledTargets.filter(pooledTarget => !rater.isFresh(pooledTarget, clock.now())).map(async pooledTarget => this._refreshOnce(pooledTarget));
		if (probes.length > 0) {
			await Promise.race([Promise.all(probes), this._waitForReads(waitMs)]);
		}
	}

	/** Waits for a time and then for one read of the sockets, since the responses that arrived during a delay of the event loop are read after its timers. */
	private async _waitForReads(waitMs: number): Promise<void> {
		await sleep(waitMs);
		await waitForImmediate();
	}

	private async _refreshOnce(pooledTarget: PooledTarget): Promise<void> {
		if (pooledTarget.pendingProbe === undefined && this._options.budget.tryTake(this._options.clock.now())) {
			pooledTarget.pendingProbe = this._runProbe(pooledTarget);
		}

		return pooledTarget.pendingProbe;
	}

	private async _runProbe(pooledTarget: PooledTarget): Promise<void> {
		const isEnded = await runTask(this._options, 'target-probe', async () => this._refresh(pooledTarget));
		if (!isEnded) {
			pooledTarget.pendingProbe = undefined;
		}
	}

	private async _refresh(pooledTarget: PooledTarget): Promise<void> {
		const {clock, prober, getService, rater, metrics, onReport} = this._options;
		const service = getService();
		const {record, client} = pooledTarget;
		const askedAt = clock.now();
		const probeResult = await prober.probe(client, service.healthPath, record.target.id);
		pooledTarget.pendingProbe = undefined;
		metrics.countEvent('target.probes', {service: service.name, result: probeResult === undefined ? 'silent' : (probeResult.isHealthy ? 'healthy' : 'unhealthy')});
		const now = clock.now();
		if (probeResult === undefined) {
			record.recordProbeTimeout(now);
		} else if (probeResult.targetId !== undefined && probeResult.targetId !== record.target.id) {
			record.recordEnd(AttemptEnd.Misdirected, now);
		} else {
			const {load} = probeResult.report;
			record.recordHealth(probeResult.isHealthy, now);
			if (load !== undefined || probeResult.isHealthy) {
				rater.recordReport(record, load, now);
			}

			onReport(pooledTarget, probeResult.report, askedAt);
		}
	}
}
