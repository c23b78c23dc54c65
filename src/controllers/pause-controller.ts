import type {DisposableLike} from '../common/disposable-like.js';
import {Emitter} from '../common/emitter.js';
import type {PauseWatch} from './pause-watch.js';

type PauseOptions = {
	readonly watch: Pick<PauseWatch, 'checkPause' | 'onWoke'>;
	/** Hears from the peers again; resolves once what they sent in the meantime was taken in. */
	readonly refreshView: () => Promise<void>;
};

/** Holds requests that must not run twice, after a pause of the process, until its view was read again. */
export class PauseController implements DisposableLike {
	private readonly _onWoke = new Emitter<number>();
	private readonly _subscription: DisposableLike;
	private _refreshing: Promise<void> | undefined;

	constructor(private readonly _options: PauseOptions) {
		this._subscription = _options.watch.onWoke(pausedMs => {
			this._onWoke.fire(pausedMs);
			this._refreshing = this._refresh();
		});
	}

	/** Fires with the length of a pause in ms, before any other work goes on. */
	get onWoke() {
		return this._onWoke.event;
	}

	/** Resolves at once unless the view dates from before a pause; called before a dispatch, which may come before the first look at the clock. */
	async waitUntilTrusted(): Promise<void> {
		this._options.watch.checkPause();
		if (this._refreshing !== undefined) {
			await this._refreshing;
		}
	}

	dispose(): void {
		this._subscription.dispose();
		this._onWoke.dispose();
	}

	private async _refresh(): Promise<void> {
		await this._options.refreshView();
		this._refreshing = undefined;
	}
}
