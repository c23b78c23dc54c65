import {setTimeout as sleep} from 'node:timers/promises';
import {err, ok, type Result} from 'neverthrow';
import type {Clock} from '../common/clock.js';
import type {DisposableLike} from '../common/disposable-like.js';
import type {Logger} from '../common/logger.js';
import {ListenRetryMode} from '../policy/listen-retry-mode.js';
import {planListenRetry} from '../policy/plan-listen-retry.js';
import type {HttpListener} from './http-listener.js';

type Address = {readonly host: string; readonly port: number};

type ListenerOpenerOptions = {
	readonly clock: Clock;
	readonly logger: Pick<Logger, 'logError' | 'logInfo'>;
};

/** Opens the listeners of a process and tries again when an address can't be had. Disposal ends the tries. */
export class ListenerOpener implements DisposableLike {
	private readonly _stop = new AbortController();

	constructor(private readonly _options: ListenerOpenerOptions) {}

	/** True once the tries were ended by disposal. */
	get isStopped(): boolean {
		return this._stop.signal.aborted;
	}

	/** Opens a listener; an error names the address, after a bounded time, after an error that doesn't pass, or after disposal. */
	async open(listener: Pick<HttpListener, 'listen' | 'dispose'>, address: Address): Promise<Result<void, Error>> {
		return this._open(listener, address, ListenRetryMode.Bounded);
	}

	/** Opens a listener that the process can do without: returns at once and tries until it is open. */
	openInBackground(listener: Pick<HttpListener, 'listen' | 'dispose'>, address: Address): void {
		void this._open(listener, address, ListenRetryMode.Endless);
	}

	dispose(): void {
		this._stop.abort();
	}

	private async _open(listener: Pick<HttpListener, 'listen' | 'dispose'>, {host, port}: Address, mode: ListenRetryMode): Promise<Result<void, Error>> {
		const {clock, logger} = this._options;
		const address = `${host}:${port}`;
		const startedAt = clock.now();
		for (let failedCount = 0; !this.isStopped; failedCount++) {
			const result = await listener.listen({host, port});
			if (this.isStopped) {
				// Disposal can't close a listener that is being opened.
				listener.dispose();
				break;
			}

			const elapsedMs = clock.now() - startedAt;
			if (result.isOk()) {
				if (failedCount > 0) {
					logger.logInfo('listener-opened-late', {address, failedTries: failedCount, tookMs: Math.round(elapsedMs)});
				}

				return ok();
			}

			const {message, code} = result.error as NodeJS.ErrnoException;
			const retryMs = planListenRetry({
				mode, code, failedCount: failedCount + 1, elapsedMs,
			});
			if (retryMs === undefined) {
				return err(result.error);
			}

			logger.logError('listen-failed', {address, detail: message, retryMs});
			await this._pause(retryMs);
		}

		return err(new Error(`stopped before ${address} was open`));
	}

	/** Waits; ends early on disposal. */
	private async _pause(pauseMs: number): Promise<void> {
		try {
			await sleep(pauseMs, undefined, {signal: this._stop.signal});
		} catch (error) {
			if (!this.isStopped) {
				throw error;
			}
		}
	}
}
