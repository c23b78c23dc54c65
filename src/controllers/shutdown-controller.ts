import type {Clock} from '../common/clock.js';
import type {DisposableLike} from '../common/disposable-like.js';
import {ErrorKind} from '../common/error-kind.js';
import type {Logger} from '../common/logger.js';
import {RequestError} from '../common/request-error.js';
import {advanceShutdown} from '../policy/advance-shutdown.js';
import {ShutdownInput} from '../policy/shutdown-input.js';
import {ShutdownPhase} from '../policy/shutdown-phase.js';

/** A request in flight, as far as a stop is concerned. */
type Exchange = {
	/** Closes the caller's connection after the answer. */
	closeAfterAnswer(): void;
	/** Ends the request with an honest answer. */
	abort(reason: RequestError): void;
};

type ShutdownOptions = {
	/** Tells peers and route answers that this instance leaves. */
	readonly announceLeaving: () => void;
	/** Accepts no more connections and closes those between requests; called repeatedly. */
	readonly closeIdle: () => void;
	/** Time for which a route answer that names this instance may still be used, in ms. */
	readonly servingMs: number;
	/** Longest time from the signal to the end, the flush of the last answers included, in ms. */
	readonly limitMs: number;
	readonly clock: Clock;
	readonly logger: Logger;
};

const pollMs = 20;
/** Time for the answers of ended requests to reach their callers, in ms. */
const flushMs = 500;

/** Runs a planned stop: announce, serve on, finish what is in flight, end. */
export class ShutdownController implements DisposableLike {
	private readonly _exchanges = new Set<Exchange>();
	private readonly _timers: NodeJS.Timeout[] = [];
	private readonly _ended: Promise<number>;
	private _resolveEnded: ((cutCount: number) => void) | undefined;
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

	/** Whether requests are taken: a connection that was accepted before the last ones were closed may still bring one. */
	get takesRequests(): boolean {
		return this._phase === ShutdownPhase.Running || this._phase === ShutdownPhase.Announced;
	}

	/** Time at which requests that are still in flight are cut, on the clock, in ms; infinite while no stop was asked for. */
	get cutsAt(): number {
		return this._abortAt;
	}

	/** Takes note of a request in flight. */
	addExchange(exchange: Exchange): void {
		this._exchanges.add(exchange);
		if (this._phase !== ShutdownPhase.Running) {
			exchange.closeAfterAnswer();
		}
	}

	removeExchange(exchange: Exchange): void {
		this._exchanges.delete(exchange);
	}

	/** Handles a signal: the first announces, the second ends the time of serving on, the third ends requests in flight. */
	handleSignal(): void {
		this._advance(ShutdownInput.Signal);
	}

	/** Resolves at the end of a stop with the number of requests that it cut. */
	async waitUntilEnded(): Promise<number> {
		return this._ended;
	}

	dispose(): void {
		for (const timer of this._timers) {
			clearTimeout(timer);
		}
	}

	private _advance(input: ShutdownInput): void {
		const before = this._phase;
		this._phase = advanceShutdown(before, input);
		if (this._phase !== before) {
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
			exchange.closeAfterAnswer();
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
			exchange.abort(new RequestError(ErrorKind.ShuttingDown, 'the instance is stopped before the request ended'));
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
