import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {HeaderName} from '../../../src/common/header-names.js';
import {RunEnd} from './run-end.js';
import type {RunLedger} from './run-ledger.js';
import type {SlotQueue} from './slot-queue.js';
import type {TargetBehavior} from './target-behavior.js';

type TargetExchangeOptions = {
	readonly target: string;
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly ledger: RunLedger;
	readonly slots: SlotQueue;
	/** Gets the behavior in force now. */
	readonly getBehavior: () => TargetBehavior;
	/** Draws the time that the request occupies a slot, in ms. */
	readonly drawServiceMs: () => number;
	/** Creates the headers by which the target reports its state. */
	readonly createStateHeaders: () => Record<string, string>;
	/** Called when the load has changed; with the time of a slot in ms when one was freed. */
	readonly notifyLoad: (busyMs: number) => void;
};

const shortestMs = 0.01;
const maxAnswerBytes = 16_777_216;

const getHeader = (request: IncomingMessage, name: string): string => {
	const value = request.headers[name];
	return Array.isArray(value) ? value[0] ?? '' : value ?? '';
};

/** One request at a stand-in target: its way from the arrival over the queue and the slot to the answer. */
export class TargetExchange {
	private readonly _record;
	private readonly _timers = new Set<NodeJS.Timeout>();
	private _release: (() => void) | undefined;

	constructor(private readonly _options: TargetExchangeOptions) {
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
				this._end(RunEnd.Cancelled);
			}
		});
	}

	/** Reads the request and answers it. */
	serve(): void {
		const {request} = this._options;
		request.on('data', (chunk: Uint8Array) => {
			this._record.bodyBytes += chunk.length;
		});
		request.once('end', () => {
			this._record.isBodyWhole = true;
			this._wait(this._options.getBehavior().oneWayDelayMs, () => {
				this._enter();
			});
		});
		const timeoutMs = Number(getHeader(request, HeaderName.Timeout));
		if (timeoutMs > 0) {
			this._wait(timeoutMs, () => {
				this._expire();
			});
		}
	}

	private _enter(): void {
		const behavior = this._options.getBehavior();
		if (behavior.isFailingFast) {
			this._end(RunEnd.Failed);
			this._respond(500, {}, 'failed\n');
			return;
		}

		if (behavior.isShedding) {
			this._refuse();
			return;
		}

		this._release = this._options.slots.acquire(() => {
			this._start();
		}, behavior.queueLimit);
		if (this._release === undefined) {
			this._refuse();
			return;
		}

		this._options.notifyLoad(0);
	}

	private _start(): void {
		this._record.startedAt = Date.now();
		// At least one turn of the event loop, since the release of the slot is known only after this call.
		this._wait(Math.max(shortestMs, this._options.drawServiceMs()), () => {
			this._end(RunEnd.Completed);
			this._answer();
		});
	}

	private _answer(): void {
		const {request, target} = this._options;
		const size = Math.min(maxAnswerBytes, Number(getHeader(request, 'x-answer-bytes')));
		const body = size > 0 ? 'x'.repeat(size) : `${JSON.stringify({target, path: request.url, requestId: this._record.requestId})}\n`;
		this._wait(this._options.getBehavior().oneWayDelayMs, () => {
			this._respond(200, {'content-type': 'application/json'}, body);
		});
	}

	private _refuse(): void {
		this._end(RunEnd.Refused);
		this._wait(this._options.getBehavior().oneWayDelayMs, () => {
			this._respond(503, {'x-not-run': 'true'}, 'refused\n');
		});
	}

	private _expire(): void {
		if (this._record.end !== RunEnd.Pending) {
			return;
		}

		const hasStarted = this._record.startedAt !== undefined;
		this._end(RunEnd.Expired);
		this._respond(hasStarted ? 504 : 503, hasStarted ? {} : {'x-not-run': 'true'}, 'deadline expired\n');
	}

	private _respond(status: number, headers: Record<string, string>, body: string): void {
		const {response} = this._options;
		if (response.destroyed || response.headersSent) {
			return;
		}

		response.writeHead(status, {...headers, ...this._options.createStateHeaders(), 'content-length': String(Buffer.byteLength(body))});
		response.end(body);
	}

	private _end(end: RunEnd): void {
		if (this._record.end !== RunEnd.Pending) {
			return;
		}

		this._record.end = end;
		this._record.endedAt = Date.now();
		for (const timer of this._timers) {
			clearTimeout(timer);
		}

		this._timers.clear();
		this._release?.();
		const {startedAt, endedAt} = this._record;
		this._options.notifyLoad(startedAt === undefined ? 0 : endedAt - startedAt);
	}

	private _wait(delayMs: number, then: () => void): void {
		if (delayMs <= 0) {
			then();
			return;
		}

		// Timers take whole ms; rounding at random keeps the mean. Where it gives 0 the shortest timer would be too long.
		const wholeMs = Math.floor(delayMs + Math.random());
		if (wholeMs === 0) {
			setImmediate(() => {
				this._continue(then);
			});
			return;
		}

		const timer = setTimeout(() => {
			this._timers.delete(timer);
			this._continue(then);
		}, wholeMs);
		this._timers.add(timer);
	}

	private _continue(then: () => void): void {
		if (this._options.response.destroyed) {
			return;
		}

		then();
	}
}
