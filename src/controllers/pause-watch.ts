import type {Clock} from '../common/clock.js';
import type {DisposableLike} from '../common/disposable-like.js';
import {Emitter} from '../common/emitter.js';
import type {Logger} from '../common/logger.js';
import {PauseDetector} from '../policy/pause-detector.js';

type PauseWatchOptions = {
	readonly clock: Clock;
	readonly logger: Logger;
};

/** Interval between two checks of the clock, in ms; a pause is overestimated by at most this much. */
const checkIntervalMs = 200;
/** Gap between two checks that counts as a pause, in ms; longer than the interval plus the longest stalls of a running process. */
const pauseThresholdMs = 500;
/** Event loop iterations needed to read the kernel's backlog after a pause: one accepts connections, the next reads their requests. */
const backlogIterations = 2;

/** Detects pauses of the process, and estimates when the requests that are read just after a pause arrived. */
export class PauseWatch implements DisposableLike {
	private readonly _detector: PauseDetector;
	private readonly _timer: NodeJS.Timeout;
	private readonly _onResumed = new Emitter<number>();
	/** Start of the pause whose backlog is being read, in ms; undefined when there is none. */
	private _pausedAt: number | undefined;
	/** Callback at the end of an event loop iteration that reads the backlog; another pause restarts the count. */
	private _backlogImmediate: NodeJS.Immediate | undefined;

	constructor(private readonly _options: PauseWatchOptions) {
		this._detector = new PauseDetector(pauseThresholdMs, _options.clock.now());
		this._timer = setInterval(() => {
			this.checkPause();
		}, checkIntervalMs).unref();
	}

	/** Fires with the length of a pause, in ms, before any other work resumes. */
	get onResumed() {
		return this._onResumed.event;
	}

	/** Checks the clock for a pause. Work that may run before the next timed check calls this first. */
	checkPause(): void {
		const now = this._options.clock.now();
		const pausedMs = this._detector.update(now);
		if (pausedMs === undefined) {
			return;
		}

		this._options.logger.logInfo('woke-late', {pausedMs: Math.round(pausedMs)});
		this._pausedAt ??= now - pausedMs;
		clearImmediate(this._backlogImmediate);
		this._waitForBacklog(backlogIterations);
		this._onResumed.fire(pausedMs);
	}

	/** Returns the earliest time at which a request that has just been read can have arrived, in ms on the clock. */
	estimateArrival(): number {
		this.checkPause();
		return this._pausedAt ?? this._options.clock.now();
	}

	dispose(): void {
		clearInterval(this._timer);
		clearImmediate(this._backlogImmediate);
		this._onResumed.dispose();
	}

	private _waitForBacklog(iterationsLeft: number): void {
		this._backlogImmediate = setImmediate(() => {
			if (iterationsLeft > 1) {
				this._waitForBacklog(iterationsLeft - 1);
			} else {
				this._pausedAt = undefined;
			}
		});
	}
}
