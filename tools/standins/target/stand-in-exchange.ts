import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {HeaderName} from '../../../src/common/header-names.js';
import {RunEnd} from './run-end.js';
import type {RunLedger} from './run-ledger.js';
import type {SlotQueue} from './slot-queue.js';
import type {TargetBehavior} from './target-behavior.js';

type StandInExchangeOptions = {
	/** Id of the target. */
	readonly target: string;
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly ledger: RunLedger;
	readonly slots: SlotQueue;
	/** Gets the current behavior. */
	readonly getBehavior: () => TargetBehavior;
	/** Draws the service time of the request, in ms. */
	readonly drawServiceMs: () => number;
	/** Creates the response headers with load report and drain signal. */
	readonly createStateHeaders: () => Record<string, string>;
	/** Called when the load has changed, with the time in ms for which a slot was held when one was freed, else 0. */
	readonly notifyLoad: (busyMs: number) => void;
};

/** Minimum service time; above 0, so that a request never completes while its slot is being acquired. */
const minServiceMs = 0.01;
/** Limit of the request header `x-answer-bytes`. */
const maxResponseBytes = 16_777_216;

const getHeader = (request: IncomingMessage, name: string): string => {
	const value = request.headers[name];
	return Array.isArray(value) ? value[0] ?? '' : value ?? '';
};

/** One request at a stand-in target, from its arrival through queue and slot to the response. */
export class StandInExchange {
	private readonly _record;
	private readonly _timers = new Set<NodeJS.Timeout>();
	private _releaseSlot: (() => void) | undefined;

	constructor(private readonly _options: StandInExchangeOptions) {
		const {request, response, target, ledger} = _options;
		this._record = ledger.addArrival({
			requestId: getHeader(request, 'x-request-id'),
			idempotencyKey: getHeader(request, HeaderName.IdempotencyKey),
			target,
			method: request.method ?? '',
			path: request.url ?? '',
			arrivedAt: Date.now(),
		});
		response.once('close', () => {
			if (!response.writableFinished) {
				this._finish(RunEnd.Cancelled);
			}
		});
	}

	/** Reads the request, runs it and sends the response. */
	serve(): void {
		const {request} = this._options;
		request.on('data', (chunk: Uint8Array) => {
			this._record.bodyBytes += chunk.length;
		});
		request.once('end', () => {
			this._record.isBodyWhole = true;
			this._schedule(this._options.getBehavior().oneWayDelayMs, () => {
				this._admit();
			});
		});
		const timeoutMs = Number(getHeader(request, HeaderName.Timeout));
		if (timeoutMs > 0) {
			this._schedule(timeoutMs, () => {
				this._expire();
			});
		}
	}

	private _admit(): void {
		const behavior = this._options.getBehavior();
		if (behavior.isFailingFast) {
			this._finish(RunEnd.Failed);
			this._writeResponse(500, {}, 'failed\n');
			return;
		}

		if (behavior.isShedding) {
			this._refuse();
			return;
		}

		this._releaseSlot = this._options.slots.acquire(() => {
			this._run();
		}, behavior.queueLimit);
		if (this._releaseSlot === undefined) {
			this._refuse();
			return;
		}

		this._options.notifyLoad(0);
	}

	private _run(): void {
		this._record.startedAt = Date.now();
		// Takes at least one iteration of the event loop, since `_releaseSlot` is assigned only after this call.
		this._schedule(Math.max(minServiceMs, this._options.drawServiceMs()), () => {
			this._finish(RunEnd.Completed);
			this._sendResult();
		});
	}

	private _sendResult(): void {
		const {request, target} = this._options;
		const size = Math.min(maxResponseBytes, Number(getHeader(request, 'x-answer-bytes')));
		const body = size > 0 ? 'x'.repeat(size) : `${JSON.stringify({target, path: request.url, requestId: this._record.requestId})}\n`;
		this._schedule(this._options.getBehavior().oneWayDelayMs, () => {
			this._writeResponse(200, {'content-type': 'application/json'}, body);
		});
	}

	private _refuse(): void {
		this._finish(RunEnd.Refused);
		this._schedule(this._options.getBehavior().oneWayDelayMs, () => {
			this._writeResponse(503, {'x-not-run': 'true'}, 'refused\n');
		});
	}

	private _expire(): void {
		if (this._record.end !== RunEnd.Pending) {
			return;
		}

		const hasStarted = this._record.startedAt !== undefined;
		this._finish(RunEnd.Expired);
		this._writeResponse(hasStarted ? 504 : 503, hasStarted ? {} : {'x-not-run': 'true'}, 'deadline expired\n');
	}

	private _writeResponse(status: number, headers: Record<string, string>, body: string): void {
		const {response} = this._options;
		if (response.destroyed || response.headersSent) {
			return;
		}

		response.writeHead(status, {...headers, ...this._options.createStateHeaders(), 'content-length': String(Buffer.byteLength(body))});
		response.end(body);
	}

	private _finish(end: RunEnd): void {
		if (this._record.end !== RunEnd.Pending) {
			return;
		}

		this._record.end = end;
		this._record.endedAt = Date.now();
		for (const timer of this._timers) {
			clearTimeout(timer);
		}

		this._timers.clear();
		this._releaseSlot?.();
		const {startedAt, endedAt} = this._record;
		this._options.notifyLoad(startedAt === undefined ? 0 : endedAt - startedAt);
	}

	private _schedule(delayMs: number, callback: () => void): void {
		if (delayMs <= 0) {
			callback();
			return;
		}

		// Timers take whole ms; rounding up or down at random preserves the mean. For 0 ms even the shortest timer would be too long.
		const roundedMs = Math.floor(delayMs + Math.random());
		if (roundedMs === 0) {
			setImmediate(() => {
				this._runUnlessClosed(callback);
			});
			return;
		}

		const timer = setTimeout(() => {
			this._timers.delete(timer);
			this._runUnlessClosed(callback);
		}, roundedMs);
		this._timers.add(timer);
	}

	private _runUnlessClosed(callback: () => void): void {
		if (this._options.response.destroyed) {
			return;
		}

		callback();
	}
}
