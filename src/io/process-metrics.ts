import {monitorEventLoopDelay, type IntervalHistogram} from 'node:perf_hooks';
import process from 'node:process';
import type {DisposableLike} from '../common/disposable-like.js';
import type {Metrics} from '../common/metrics.js';

const intervalMs = 1000;
const delayResolutionMs = 10;
const nsPerMs = 1_000_000;
const usPerSecond = 1_000_000;

/** Reports processor time, memory and event loop delay of the process once a second. */
export class ProcessMetrics implements DisposableLike {
	private readonly _delay: IntervalHistogram = monitorEventLoopDelay({resolution: delayResolutionMs});
	private readonly _timer: NodeJS.Timeout;
	private _usage = process.cpuUsage();

	/**
	@param _metrics - Where the figures go.
	@param _countConnections - Counts the connections of callers.
	*/
	constructor(private readonly _metrics: Metrics, private readonly _countConnections: (report: (count: number) => void) => void) {
		this._delay.enable();
		this._timer = setInterval(() => {
			this._report();
		}, intervalMs);
		this._timer.unref();
	}

	dispose(): void {
		clearInterval(this._timer);
		this._delay.disable();
	}

	private _report(): void {
		const used = process.cpuUsage(this._usage);
		this._usage = process.cpuUsage();
		this._metrics.recordGauge('process.cpu', (used.user + used.system) / usPerSecond);
		this._metrics.recordGauge('process.memory', process.memoryUsage.rss());
		this._metrics.recordGauge('process.loop_delay', this._delay.percentile(99) / nsPerMs);
		this._delay.reset();
		this._countConnections(count => {
			this._metrics.recordGauge('caller.connections', count);
		});
	}
}
