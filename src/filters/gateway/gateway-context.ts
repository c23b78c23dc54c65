import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Arrival} from '../../common/arrival.js';
import type {BodyBlocks} from '../../common/gateway/body-blocks.js';
import type {GatewayRoute} from '../../common/gateway/gateway-route.js';
import type {RequestError} from '../../common/request-error.js';
import type {ResponseHold} from '../../policy/gateway/response-hold.js';
import {OutcomeLedger} from '../../policy/outcome-ledger.js';
import type {AttemptLogEntry} from './attempt-log-entry.js';

/** State of one request, shared by the filters of the chain; each filter sets its own fields. */
export class GatewayContext {
	/** Set by the route filter. */
	route: GatewayRoute | undefined;
	/** Set by the route filter. */
	service = '';
	/** Set by the body filter. */
	body: BodyBlocks = {length: 0, blocks: []};
	/** Set by the time limit filter: time by which the response must be complete, on the instance's clock, in ms. */
	deadlineAt = Number.POSITIVE_INFINITY;
	/** Set by the time limit filter: time by which a response meets the route's objective, counted from the caller's first attempt, in ms. */
	objectiveAt = Number.POSITIVE_INFINITY;
	/** Set by the time limit filter: time at which the caller was found to have disconnected, on the instance's clock, in ms. */
	callerLeftAt: number | undefined;
	/** Ids of the targets to which an attempt was made. */
	readonly attemptedTargets: string[] = [];
	/** Number of attempts of which a target may have received part. */
	sentCount = 0;
	/** Finished attempts, for the log. */
	readonly attempts: AttemptLogEntry[] = [];
	readonly ledger = new OutcomeLedger();
	private readonly _responseHolds: ResponseHold[] = [];
	private _isEnded = false;
	private readonly _abortController = new AbortController();

	/**
	@param request - The caller's request.
	@param response - The response to the caller.
	@param requestId - Id that the caller gave this attempt of its request, if any.
	*/
	constructor(readonly request: IncomingMessage, readonly response: ServerResponse, private readonly _arrival: Arrival, readonly requestId: string | undefined) {}

	/** Time at which the request head arrived, on the instance's clock, in ms. */
	get receivedAt(): number {
		return this._arrival.receivedAt;
	}

	/** Time at which the request head was read, on the instance's clock, in ms. */
	get readAt(): number {
		return this._arrival.readAt;
	}

	/** Aborted when the caller disconnects, the deadline expires or a graceful shutdown aborts the request; the reason is a `RequestError`. */
	get signal(): AbortSignal {
		return this._abortController.signal;
	}

	/** True while a target may have received part of the request without proving that it refused it. */
	get isDispatched(): boolean {
		return this.ledger.isDispatched;
	}

	/** Keeps the memory of a response until the response to the caller was sent or its connection has closed. */
	keepUntilEnd(hold: ResponseHold): void {
		if (this._isEnded) {
			hold.release();
		} else {
			this._responseHolds.push(hold);
		}
	}

	/** Releases the memory of the responses, when the response to the caller was sent or its connection has closed. */
	end(): void {
		this._isEnded = true;
		for (const hold of this._responseHolds.splice(0)) {
			hold.release();
		}
	}

	/** Cancels all work for the request. */
	abort(reason: RequestError): void {
		this._abortController.abort(reason);
	}
}
