import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Arrival} from '../common/arrival.js';
import type {RequestError} from '../common/request-error.js';
import type {RequestRule} from '../common/request-rule.js';
import type {ServiceSpec} from '../common/service-spec.js';
import type {SlotLease} from '../common/slot-lease.js';
import type {TraceSpan} from '../common/trace-span.js';
import {OutcomeLedger} from '../policy/outcome-ledger.js';

/** State of one request, or of one attempt of it, shared by the filters of the chain; each filter sets its own fields. */
export class RequestContext {
	/** Set by the classify filter. */
	service: ServiceSpec | undefined;
	/** Set by the classify filter. */
	rule: RequestRule | undefined;
	/** Set by the deadline filter: time by which the response must be complete, on the instance's clock, in ms. */
	deadlineAt = Number.POSITIVE_INFINITY;
	/** Number of the attempt; the first is 0. */
	attempt = 0;
	/** Ids of the targets not to use again for this request; shared by all its attempts. */
	excludedTargets: string[] = [];
	/** Set by the admit filter. */
	lease: SlotLease | undefined;
	/** Set by the trace filter if tracing is enabled; during an attempt, the span of that attempt. */
	span: TraceSpan | undefined;
	private readonly _abortController = new AbortController();

	/**
	@param request - The caller's request.
	@param response - The response to the caller.
	@param ledger - Records all attempts of the request; shared by their contexts.
	*/
	constructor(readonly request: IncomingMessage, readonly response: ServerResponse, private readonly _arrival: Arrival, readonly ledger = new OutcomeLedger()) {}

	/** Time at which the request head arrived, on the instance's clock, in ms. */
	get receivedAt(): number {
		return this._arrival.receivedAt;
	}

	/** Time at which the request head was read, on the instance's clock, in ms. */
	get readAt(): number {
		return this._arrival.readAt;
	}

	/** Aborted when the caller disconnects, the deadline expires, a graceful shutdown aborts the request or the attempt is no longer needed; the reason is a `RequestError`. */
	get signal(): AbortSignal {
		return this._abortController.signal;
	}

	/** True while a target may have received part of the request, in any attempt, without proving that it refused it. */
	get isDispatched(): boolean {
		return this.ledger.isDispatched;
	}

	/** Creates the context of another attempt; aborting the request also aborts the attempt, but not the reverse. */
	createAttemptContext(attempt: number): RequestContext {
		const attemptContext = new RequestContext(this.request, this.response, this._arrival, this.ledger);
		attemptContext.service = this.service;
		attemptContext.rule = this.rule;
		attemptContext.deadlineAt = this.deadlineAt;
		attemptContext.span = this.span;
		attemptContext.attempt = attempt;
		attemptContext.excludedTargets = this.excludedTargets;
		if (this.signal.aborted) {
			attemptContext.abort(this.signal.reason as RequestError);
		} else {
			this.signal.addEventListener('abort', () => {
				attemptContext.abort(this.signal.reason as RequestError);
			}, {once: true});
		}

		return attemptContext;
	}

	/** Cancels all work for the request, or for the attempt. */
	abort(reason: RequestError): void {
		this._abortController.abort(reason);
	}
}
