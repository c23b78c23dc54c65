import type {Result} from 'neverthrow';
import type {BufferedResponse} from '../../common/gateway/buffered-response.js';
import {AttemptEnd} from '../../common/gateway/attempt-end.js';
import {ErrorKind} from '../../common/error-kind.js';
import {RequestError} from '../../common/request-error.js';
import type {HedgeRequest} from '../../controllers/gateway/hedge-request.js';
import type {HedgeSource} from '../../controllers/gateway/hedge-source.js';
import type {PlacementRequest} from '../../controllers/gateway/placement-request.js';
import type {TargetLease} from '../../controllers/gateway/target-lease.js';

type AttemptResult = Result<BufferedResponse, RequestError>;

type Settleable = {resolve(result: AttemptResult): void; reject(error: Error): void};

type HedgeRaceOptions = {
	readonly source: HedgeSource;
	/** Aborted when the request is. */
	readonly callerSignal: AbortSignal;
	readonly objectiveMs: number;
	/** The placement of both attempts, which end by the signal. */
	createPlacement(signal: AbortSignal): PlacementRequest;
	/** Places and runs the first attempt; calls `onPlaced` when it has a slot. */
	runFirst(placement: PlacementRequest, onPlaced: () => void): Promise<AttemptResult>;
	/** Runs the hedge and releases its lease. */
	runHedge(lease: TargetLease, signal: AbortSignal): Promise<AttemptResult>;
	isFailure(result: AttemptResult): boolean;
};

/** Reason of the abort that cancels the loser of a race; the default one would capture a stack trace for each request. */
const raceEnded = new RequestError(ErrorKind.CallerGone, 'another attempt has ended the request');

/** Runs the first attempt of a request and, if that takes long, a second one in parallel; the first success wins and cancels the other. */
export class HedgeRace {
	// Both attempts end when the race is over or the request is aborted; combining the signals would cost more.
	private readonly _controller = new AbortController();
	private readonly _request: HedgeRequest;
	private readonly _abort: () => void;
	private _timer: NodeJS.Timeout | undefined;
	private _isHedged = false;
	private _isFirstRecorded = false;
	private _isEnded = false;
	/** While the other attempt runs, one failure is not final; if both fail, the later result is returned. */
	private _ignoredFailure: AttemptResult | undefined;
	private _promise: Settleable | undefined;

	constructor(private readonly _options: HedgeRaceOptions) {
		this._abort = () => {
			this._controller.abort(_options.callerSignal.reason);
		};

		this._request = {
			placement: _options.createPlacement(this._controller.signal), objectiveMs: _options.objectiveMs, placedAt: undefined, delayMs: 0,
		};
	}

	/** Resolves with the result of the winner; rejects when an attempt ends by an exception. */
	async run(): Promise<AttemptResult> {
		const {callerSignal, source, objectiveMs} = this._options;
		if (callerSignal.aborted) {
			this._abort();
		}

		callerSignal.addEventListener('abort', this._abort, {once: true});
		return new Promise((resolve, reject) => {
			this._promise = {resolve, reject};
			this._schedule(source.getStartDelayMs(objectiveMs));
			void this._runOrFail(async () => this._runFirst());
		});
	}

	private async _runFirst(): Promise<void> {
		const result = await this._options.runFirst(this._request.placement, () => {
			this._schedule(this._options.source.notePlaced(this._request));
		});
		this._recordFirstEnd(!this._options.isFailure(result));
		this._settle(result, 'lost');
	}

	private async _tryHedge(): Promise<void> {
		const {source, runHedge} = this._options;
		const {signal} = this._controller;
		const offer = await source.tryAcquire(this._request);
		switch (offer.kind) {
			case 'never': {
				return;
			}

			case 'later': {
				this._schedule(offer.delayMs);
				return;
			}

			case 'granted': {
				if (signal.aborted) {
					offer.lease.release(AttemptEnd.Unused);
					return;
				}

				this._isHedged = true;
				source.countHedge(this._request.placement.service, 'sent');
				this._settle(await runHedge(offer.lease, signal), 'won');
			}
		}
	}

	private _schedule(delayMs: number | undefined): void {
		if (delayMs !== undefined && !this._controller.signal.aborted) {
			this._timer = setTimeout(() => {
				void this._runOrFail(async () => this._tryHedge());
			}, delayMs);
		}
	}

	/** @param hedgeEnd - How the hedge has ended if the result is a success. */
	private _settle(result: AttemptResult, hedgeEnd: 'won' | 'lost'): void {
		const isFailure = this._options.isFailure(result);
		if (isFailure && this._isHedged && this._ignoredFailure === undefined) {
			this._ignoredFailure = result;
			return;
		}

		if (isFailure) {
			this._end(this._options.callerSignal.aborted ? 'cancelled' : 'lost');
		} else {
			this._end(hedgeEnd);
		}

		this._promise?.resolve(result);
	}

	/** An exception ends the race like a final failure, so that neither the request nor the process is left with it. */
	private async _runOrFail(run: () => Promise<void>): Promise<void> {
		try {
			await run();
		} catch (error) {
			this._end('lost');
			this._promise?.reject(error instanceof Error ? error : new Error(String(error)));
		}
	}

	/** Cancels what is still in progress. */
	private _end(hedgeEnd: 'won' | 'lost' | 'cancelled'): void {
		if (this._isEnded) {
			return;
		}

		this._isEnded = true;
		clearTimeout(this._timer);
		this._options.callerSignal.removeEventListener('abort', this._abort);
		this._recordFirstEnd(false);
		if (this._isHedged) {
			this._options.source.countHedge(this._request.placement.service, hedgeEnd);
		}

		this._controller.abort(raceEnded);
	}

	private _recordFirstEnd(isComplete: boolean): void {
		if (!this._isFirstRecorded) {
			this._isFirstRecorded = true;
			this._options.source.recordFirstEnd(this._request, isComplete);
		}
	}
}
