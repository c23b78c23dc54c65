import {err, ok, type Result} from 'neverthrow';
import type {Clock} from '../../common/clock.js';
import type {DisposableLike} from '../../common/disposable-like.js';
import {ErrorKind} from '../../common/error-kind.js';
import type {Metrics} from '../../common/metrics.js';
import {RequestError} from '../../common/request-error.js';
import {minRetryAfterMs} from '../../policy/gateway/min-retry-after-ms.js';
import {StartLimit} from '../../policy/gateway/start-limit.js';

type IntakeOptions = {
	readonly clock: Clock;
	readonly random: () => number;
	readonly metrics: Metrics;
};

type Waiter = {
	readonly since: number;
	readonly signal: AbortSignal;
	settle(result: Result<void, RequestError>): void;
};

/** Longest wait of a request to be started, in ms. A longer one would use up more than a third of the shortest latency objective of the sites. */
const maxWaitMs = 100;
/** Largest random addition to the retry-after time of refused requests, in ms, so that callers do not retry at the same time. */
const refusalJitterMs = 250;
/** Longest time for which starts are delayed so that further connections are accepted first, in ms. */
const maxStartDelayMs = 80;

/**
Starts a limited number of requests in each turn of the event loop, so that turns stay short and disconnects of callers, responses and
messages of peers are read in time. Starts are delayed while pending connections are accepted, since libuv accepts one a turn. When more
requests arrive than can be started, the newest goes first (adaptive LIFO), and one that has waited too long is refused.
*/
export class IntakeController implements DisposableLike {
	private readonly _waiters: Waiter[] = [];
	private readonly _startLimit = new StartLimit();
	private _immediate: NodeJS.Immediate | undefined;
	private _turnStartedAt = 0;
	private _startedCount = 0;
	private _hasAccepted = false;
	/** Time since which starts have been delayed, in ms; undefined while they are not. */
	private _acceptingSince: number | undefined;

	constructor(private readonly _options: IntakeOptions) {}

	/** Number of requests that wait to be started. */
	get waitingCount(): number {
		return this._waiters.length;
	}

	/** Notes that a connection was accepted in this turn, so that further ones may be pending. */
	noteConnection(): void {
		this._hasAccepted = true;
		this._watchTurn();
	}

	/**
	Waits until a request may be started. Refuses it when it has waited too long.
	@param signal - Cancels the wait when it aborts; its reason, a RequestError, is the result then.
	*/
	async enter(signal: AbortSignal): Promise<Result<void, RequestError>> {
		if (signal.aborted) {
			return err(signal.reason as RequestError);
		}

		this._watchTurn();
		if (!this._hasAccepted && this._waiters.length === 0 && this._startedCount < this._startLimit.startsPerTurn) {
			this._startedCount++;
			return ok();
		}

		return new Promise(resolve => {
			this._waiters.push({since: this._options.clock.now(), signal, settle: resolve});
		});
	}

	dispose(): void {
		clearImmediate(this._immediate);
	}

	private _watchTurn(): void {
		if (this._immediate === undefined) {
			this._turnStartedAt = this._options.clock.now();
			this._waitForTurn();
		}
	}

	private _waitForTurn(): void {
		this._immediate = setImmediate(() => {
			this._immediate = undefined;
			this._endTurn();
		});
	}

	private _endTurn(): void {
		const {clock, metrics} = this._options;
		const now = clock.now();
		const turnMs = now - this._turnStartedAt;
		this._startLimit.update(turnMs);
		metrics.recordDuration('process.turn', turnMs);
		this._turnStartedAt = now;
		const wasBusy = this._startedCount > 0 || this._waiters.length > 0 || this._hasAccepted;
		this._startedCount = 0;
		if (!this._isAccepting(now)) {
			this._startWaiting();
		}

		this._hasAccepted = false;
		this._refuseLate(now);
		// The turn after a start is measured as well, since it runs the work that the start has queued.
		if (wasBusy) {
			this._waitForTurn();
		}
	}

	private _isAccepting(now: number): boolean {
		this._acceptingSince ??= now;
		const isAccepting = this._hasAccepted && this._waiters.length > 0 && now - this._acceptingSince < maxStartDelayMs;
		if (!isAccepting) {
			this._acceptingSince = undefined;
		}

		return isAccepting;
	}

	private _startWaiting(): void {
		while (this._waiters.length > 0 && this._startedCount < this._startLimit.startsPerTurn) {
			const waiter = this._waiters.pop();
			if (waiter?.signal.aborted === false) {
				this._startedCount++;
				waiter.settle(ok());
			} else {
				waiter?.settle(err(waiter.signal.reason as RequestError));
			}
		}
	}

	private _refuseLate(now: number): void {
		while (now - (this._waiters[0]?.since ?? now) > maxWaitMs) {
			const waiter = this._waiters.shift();
			waiter?.settle(err(waiter.signal.aborted ? waiter.signal.reason as RequestError : this._createRefusal(now - waiter.since)));
		}
	}

	private _createRefusal(waitedMs: number): RequestError {
		const detail = `${this._waiters.length} other requests are waiting to be started; this one has waited ${Math.round(waitedMs)} ms`;
		return new RequestError(ErrorKind.Overloaded, detail, minRetryAfterMs + (this._options.random() * refusalJitterMs));
	}
}
