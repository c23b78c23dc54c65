import type {Clock} from '../common/clock.js';
import type {DisposableLike} from '../common/disposable-like.js';
import {Emitter} from '../common/emitter.js';
import type {Logger} from '../common/logger.js';
import {PauseDetector} from '../policy/pause-detector.js';

type PauseWatchOptions = {
	readonly clock: Clock;
	readonly logger: Logger;
};

/** Interval between two looks at the clock, in ms; a pause seems longer than it was by this much at most. */
const checkIntervalMs = 200;
/** Gap between two looks that counts as a pause, in ms; above the interval and the longest stalls of a process that runs. */
const pauseThresholdMs = 500;
/** Turns of the event loop in which all that waited in the kernel is read: one takes the connections, the next their requests. */
const backlogIterations = 2;

/** Notices that the process was paused, and tells how long what it reads just after the pause may have waited. */
export class PauseWatch implements DisposableLike {
	private readonly _detector: PauseDetector;
	private readonly _timer: NodeJS.Timeout;
	private readonly _onWoke = new Emitter<number>();
	/** Start of the pause whose backlog is being read, undefined when there is none. */
	private _pausedAt: number | undefined;
	/** The next turn's end in which the backlog is read; a further pause begins anew. */
	private _backlogImmediate: NodeJS.Immediate | undefined;

	constructor(private readonly _options: PauseWatchOptions) {
		this._detector = new PauseDetector(pauseThresholdMs, _options.clock.now());
		this._timer = setInterval(() => {
			this.checkPause();
		}, checkIntervalMs).unref();
	}

	/** Fires with the length of a pause in ms, before any other work goes on. */
	get onWoke() {
		return this._onWoke.event;
	}

	/** Looks at the clock; work that may come before the next look by itself calls this first. */
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
		this._onWoke.fire(pausedMs);
	}

	/** Earliest time at which a request that was read just now can have arrived, in ms on the clock. */
	estimateArrival(): number {
		this.checkPause();
		return this._pausedAt ?? this._options.clock.now();
	}

	dispose(): void {
		clearInterval(this._timer);
		clearImmediate(this._backlogImmediate);
		this._onWoke.dispose();
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
