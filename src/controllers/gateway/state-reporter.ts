import type {Clock} from '../../common/clock.js';
import type {DisposableLike} from '../../common/disposable-like.js';
import type {Logger} from '../../common/logger.js';
import type {Metrics} from '../../common/metrics.js';
import {runTask} from '../../io/run-task.js';
import type {SiteView} from './site-view.js';

type StateReporterOptions = {
	readonly view: SiteView;
	readonly logger: Logger;
	readonly metrics: Metrics;
	readonly clock: Clock;
	/** Counts the instances that are considered running. */
	readonly countInstances: () => number;
	/** Counts the bytes exchanged with peers since the start. */
	readonly countPeerBytes: () => number;
};

/** Interval between two measurements of the event loop delay, in ms. */
const checkIntervalMs = 500;
/** Measurements per log line. A smaller value would cost more processor time, as writing a line takes 0.1 ms. */
const checksPerReport = 10;

/** Logs the active versions, the number of instances, the peer traffic and the event loop delay at regular intervals. */
export class StateReporter implements DisposableLike {
	private _timer: NodeJS.Timeout | undefined;
	private _checkedAt = 0;
	private _checkCount = 0;
	private _maxDelayMs = 0;
	private _reportedBytes = 0;

	constructor(private readonly _options: StateReporterOptions) {}

	start(): void {
		this._checkedAt = this._options.clock.now();
		this._timer = setInterval(() => {
			void runTask(this._options, 'state-report', () => {
				this._check();
			});
		}, checkIntervalMs).unref();
	}

	dispose(): void {
		clearInterval(this._timer);
	}

	private _check(): void {
		const now = this._options.clock.now();
		this._maxDelayMs = Math.max(this._maxDelayMs, now - this._checkedAt - checkIntervalMs);
		this._checkedAt = now;
		this._checkCount++;
		this._options.view.operator.refreshEvacuations();
		if (this._checkCount % checksPerReport === 0) {
			this._report();
		}
	}

	private _report(): void {
		const {view, logger, metrics, countInstances, countPeerBytes} = this._options;
		const bytes = countPeerBytes();
		const peerBytesPerSecond = Math.round((bytes - this._reportedBytes) * 1000 / (checkIntervalMs * checksPerReport));
		const {evacuatedDomains} = view.operator;
		const loopDelayMs = Math.max(0, Math.round(this._maxDelayMs));
		metrics.recordGauge('peer.bytes_per_second', peerBytesPerSecond);
		metrics.recordGauge('process.loop_delay', loopDelayMs);
		metrics.recordGauge('evacuation.domains', evacuatedDomains.length);
		logger.logInfo('gateway-state', {
			...view.version, evacuatedDomains, instances: countInstances(), peerBytesPerSecond, loopDelayMs,
		});
		this._reportedBytes = bytes;
		this._maxDelayMs = 0;
	}
}
