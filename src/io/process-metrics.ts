import {monitorEventLoopDelay, type IntervalHistogram} from 'node:perf_hooks';
import process from 'node:process';
import type {DisposableLike} from '../common/disposable-like.js';
import type {Metrics} from '../common/metrics.js';

const reportIntervalMs = 1000;
const loopDelayResolutionMs = 10;
const nsPerMs = 1_000_000;
const usPerSecond = 1_000_000;

/** Reports CPU time, resident memory and event loop delay of the process, and the number of caller connections, once a second. */
export class ProcessMetrics implements DisposableLike {
	private readonly _loopDelay: IntervalHistogram = monitorEventLoopDelay({resolution: loopDelayResolutionMs});
	private readonly _timer: NodeJS.Timeout;
	private _lastCpuUsage = process.cpuUsage();

	/**
	@param _metrics - Receives the gauges.
	@param _countConnections - Counts the open caller connections and passes the count to its callback.
	*/
	constructor(private readonly _metrics: Metrics, private readonly _countConnections: (report: (count: number) => void) => void) {
		this._loopDelay.enable();
		this._timer = setInterval(() => {
			this._report();
		}, reportIntervalMs);
		this._timer.unref();
	}

	dispose(): void {
		clearInterval(this._timer);
		this._loopDelay.disable();
	}

	private _report(): void {
		const cpuUsage = process.cpuUsage(this._lastCpuUsage);
		this._lastCpuUsage = process.cpuUsage();
		this._metrics.recordGauge('process.cpu', (cpuUsage.user + cpuUsage.system) / usPerSecond);
		this._metrics.recordGauge('process.memory', process.memoryUsage.rss());
		this._metrics.recordGauge('process.loop_delay', this._loopDelay.percentile(99) / nsPerMs);
		this._loopDelay.reset();
		this._countConnections(count => {
			this._metrics.recordGauge('caller.connections', count);
		});
	}
}
