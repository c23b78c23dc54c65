import type {Clock} from '../common/clock.js';
import type {DisposableLike} from '../common/disposable-like.js';
import {Emitter} from '../common/emitter.js';
import type {Logger} from '../common/logger.js';
import {PauseDetector} from '../policy/pause-detector.js';

type PauseOptions = {
	readonly clock: Clock;
	readonly logger: Logger;
	/** Hears from the peers again; resolves once what they sent in the meantime was taken in. */
	readonly refreshView: () => Promise<void>;
};

const tickMs = 50;
/** Gap between two ticks that counts as a pause, in ms. */
const thresholdMs = 500;

/** Notices that the process was paused, and holds requests that must not run twice until its view was read again. */
export class PauseController implements DisposableLike {
	private readonly _detector: PauseDetector;
	private readonly _timer: NodeJS.Timeout;
	private readonly _onWoke = new Emitter<number>();
	private _refreshing: Promise<void> | undefined;

	constructor(private readonly _options: PauseOptions) {
		this._detector = new PauseDetector(thresholdMs, _options.clock.now());
		this._timer = setInterval(() => {
			this._checkPause();
		}, tickMs).unref();
	}

	/** Fires with the length of a pause in ms, before any other work goes on. */
	get onWoke() {
		return this._onWoke.event;
	}

	/** Resolves at once unless the view dates from before a pause; called before a dispatch, which may come before the first tick. */
	async waitUntilTrusted(): Promise<void> {
		this._checkPause();
		if (this._refreshing !== undefined) {
			await this._refreshing;
		}
	}

	dispose(): void {
		clearInterval(this._timer);
		this._onWoke.dispose();
	}

	private _checkPause(): void {
		const pausedMs = this._detector.update(this._options.clock.now());
		if (pausedMs === undefined) {
			return;
		}

		this._options.logger.logInfo('woke-late', {pausedMs: Math.round(pausedMs)});
		this._onWoke.fire(pausedMs);
		this._refreshing = this._refresh();
	}

	private async _refresh(): Promise<void> {
		await this._options.refreshView();
		this._refreshing = undefined;
	}
}
