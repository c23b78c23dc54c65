import type {DisposableLike} from '../common/disposable-like.js';
import {Emitter} from '../common/emitter.js';
import type {PauseWatch} from './pause-watch.js';

type PauseOptions = {
	readonly watch: Pick<PauseWatch, 'checkPause' | 'onResumed'>;
	/** Calls the peers; resolves once everything they sent during the pause has been applied. */
	readonly refreshView: () => Promise<void>;
};

/** Delays non-idempotent requests after a pause of the process until its view of the fleet has been refreshed. */
export class PauseController implements DisposableLike {
	private readonly _onResumed = new Emitter<number>();
	private readonly _subscription: DisposableLike;
	private _refreshing: Promise<void> | undefined;
	private _refreshCount = 0;

	constructor(private readonly _options: PauseOptions) {
		this._subscription = _options.watch.onResumed(pausedMs => {
			this._onResumed.fire(pausedMs);
			this._refreshing = this._refresh();
		});
	}

	/** Fires with the length of a pause, in ms, before any other work resumes. */
	get onResumed() {
		return this._onResumed.event;
	}

	/** Resolves once the view is not older than the last pause. Checks for a pause first, as a dispatch may run before the timer of the pause watch. */
	async waitForFreshView(): Promise<void> {
		this._options.watch.checkPause();
		while (this._refreshing !== undefined) {
			await this._refreshing;
		}
	}

	dispose(): void {
		this._subscription.dispose();
		this._onResumed.dispose();
	}

	/** Refreshes the view; a further pause meanwhile starts another refresh, which the requests then wait for. */
	private async _refresh(): Promise<void> {
		this._refreshCount++;
		const refreshCount = this._refreshCount;
		await this._options.refreshView();
		if (refreshCount === this._refreshCount) {
			this._refreshing = undefined;
		}
	}
}
