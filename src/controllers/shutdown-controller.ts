import type {Clock} from '../common/clock.js';
import type {DisposableLike} from '../common/disposable-like.js';
import {ErrorKind} from '../common/error-kind.js';
import type {Logger} from '../common/logger.js';
import {RequestError} from '../common/request-error.js';
import {advanceShutdown} from '../policy/advance-shutdown.js';
import {ShutdownInput} from '../policy/shutdown-input.js';
import {ShutdownPhase} from '../policy/shutdown-phase.js';

/** A request in flight, as the shutdown sees it. */
type Exchange = {
	/** Makes the caller's connection close after the response. */
	closeAfterResponse(): void;
	/** Ends the request with an error response that states what is known of its outcome. */
	abort(reason: RequestError): void;
};

type ShutdownOptions = {
	/** Announces to peers and in route responses that this instance is leaving. */
	readonly announceLeaving: () => void;
	/** Stops accepting connections and closes idle ones; called repeatedly. */
	readonly closeIdle: () => void;
	/** Time for which callers may still use a route response that names this instance, in ms. */
	readonly servingMs: number;
	/** Maximum time from the signal to the end, including the flush of the last responses, in ms. */
	readonly limitMs: number;
	readonly clock: Clock;
	readonly logger: Logger;
};

const pollMs = 20;
/** Time for the responses of aborted requests to reach their callers, in ms. */
const flushMs = 500;

/** Runs a graceful shutdown: announces it, keeps serving, finishes the requests in flight and ends. */
export class ShutdownController implements DisposableLike {
	private readonly _exchanges = new Set<Exchange>();
	private readonly _timers: NodeJS.Timeout[] = [];
	private readonly _ended: Promise<number>;
	private _resolveEnded: ((abortedCount: number) => void) | undefined;
	private _phase = ShutdownPhase.Running;
	private _abortedCount = 0;
	private _abortAt = Number.POSITIVE_INFINITY;

	constructor(private readonly _options: ShutdownOptions) {
		this._ended = new Promise(resolve => {
			this._resolveEnded = resolve;
		});
	}

	get phase(): ShutdownPhase {
		return this._phase;
	}

	/** Whether new requests are accepted. A connection that was accepted before the idle ones were closed may still send one afterwards. */
	get isAcceptingRequests(): boolean {
		return this._phase === ShutdownPhase.Running || this._phase === ShutdownPhase.Announced;
	}

	/** Time on the clock at which requests that are still in flight are aborted, in ms; infinite before a shutdown. */
	get abortAt(): number {
		return this._abortAt;
	}

	/** Registers a request in flight. */
	addExchange(exchange: Exchange): void {
		this._exchanges.add(exchange);
		if (this._phase !== ShutdownPhase.Running) {
			exchange.closeAfterResponse();
		}
	}

	removeExchange(exchange: Exchange): void {
		this._exchanges.delete(exchange);
	}

	/** Handles a signal: the first announces the shutdown, the second stops accepting requests, the third aborts those in flight. */
	handleSignal(): void {
		this._advance(ShutdownInput.Signal);
	}

	/** Resolves at the end of a shutdown with the number of requests that it aborted. */
	async waitUntilEnded(): Promise<number> {
		return this._ended;
	}

	dispose(): void {
		for (const timer of this._timers) {
			clearTimeout(timer);
		}
	}

	private _advance(input: ShutdownInput): void {
		const previous = this._phase;
		this._phase = advanceShutdown(previous, input);
		if (this._phase !== previous) {
			this._options.logger.logInfo('shutdown-phase', {phase: this._phase, inFlight: this._exchanges.size});
			this._enterPhase(this._phase);
		}
	}

	private _enterPhase(phase: ShutdownPhase): void {
		switch (phase) {
			case ShutdownPhase.Running: {
				return;
			}

			case ShutdownPhase.Announced: {
				this._announce();
				return;
			}

			case ShutdownPhase.Finishing: {
				this._finish();
				return;
			}

			case ShutdownPhase.Aborting: {
				this._abortAll();
				return;
			}

			case ShutdownPhase.Ended: {
				this._resolveEnded?.(this._abortedCount);
			}
		}
	}

	private _announce(): void {
		this._options.announceLeaving();
		for (const exchange of this._exchanges) {
			exchange.closeAfterResponse();
		}

		const {servingMs, limitMs, clock} = this._options;
		const abortAfterMs = Math.max(0, limitMs - flushMs);
		this._abortAt = clock.now() + abortAfterMs;
		this._startTimer(Math.min(servingMs, abortAfterMs), ShutdownInput.RoutesExpired);
		this._startTimer(abortAfterMs, ShutdownInput.LimitReached);
	}

	private _finish(): void {
		this._options.closeIdle();
		if (this._exchanges.size === 0) {
			this._advance(ShutdownInput.Idle);
		} else if (this._phase === ShutdownPhase.Finishing) {
			this._timers.push(setTimeout(() => {
				if (this._phase === ShutdownPhase.Finishing) {
					this._finish();
				}
			}, pollMs));
		}
	}

	private _abortAll(): void {
		this._abortedCount = this._exchanges.size;
		this._options.logger.logError('shutdown-cut', {inFlight: this._abortedCount});
		for (const exchange of this._exchanges) {
			exchange.abort(new RequestError(ErrorKind.ShuttingDown, 'the instance stopped before the request ended'));
		}

		this._options.closeIdle();
		this._startTimer(flushMs, ShutdownInput.Idle);
	}

	private _startTimer(delayMs: number, input: ShutdownInput): void {
		this._timers.push(setTimeout(() => {
			this._advance(input);
		}, delayMs));
	}
}
