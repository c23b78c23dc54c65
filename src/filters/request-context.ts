import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Arrival} from '../common/arrival.js';
import type {RequestError} from '../common/request-error.js';
import type {RequestRule} from '../common/request-rule.js';
import type {ServiceSpec} from '../common/service-spec.js';
import type {SlotLease} from '../common/slot-lease.js';
import type {TraceSpan} from '../common/trace-span.js';
import {OutcomeLedger} from '../policy/outcome-ledger.js';

/** What the filters know of one request, or of one try of it; each filter fills in its own fields. */
export class RequestContext {
	/** Set by the classify filter. */
	service: ServiceSpec | undefined;
	/** Set by the classify filter. */
	rule: RequestRule | undefined;
	/** Set by the deadline filter: time by which the answer must be whole, on the instance's clock, in ms. */
	deadlineAt = Number.POSITIVE_INFINITY;
	/** Number of the try, first is 0. */
	attempt = 0;
	/** Targets not to use again for this request; shared by all its tries. */
	excludedTargets: string[] = [];
	/** Set by the admit filter. */
	lease: SlotLease | undefined;
	/** Set by the trace filter when traces are on; a try's own while it runs. */
	span: TraceSpan | undefined;
	private readonly _abortController = new AbortController();

	/**
	@param request - The caller's request.
	@param response - Where the answer goes.
	@param ledger - Records all tries of the request; shared by their contexts.
	*/
	constructor(readonly request: IncomingMessage, readonly response: ServerResponse, private readonly _arrival: Arrival, readonly ledger = new OutcomeLedger()) {}

	/** Arrival of the headers on the instance's clock, in ms. */
	get receivedAt(): number {
		return this._arrival.receivedAt;
	}

	/** Time at which the headers were read, in ms. */
	get readAt(): number {
		return this._arrival.readAt;
	}

	/** Aborted when the caller has gone, the deadline has expired or the try is no longer needed; the reason is a request error. */
	get signal(): AbortSignal {
		return this._abortController.signal;
	}

	/** True once a byte of the request, or of one of its tries, may have reached a target. */
	get isDispatched(): boolean {
		return this.ledger.isDispatched;
	}

	/** Creates the context of a further try; ending the request ends the try, not the other way round. */
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

	/** Ends all work for the request. */
	abort(reason: RequestError): void {
		this._abortController.abort(reason);
	}
}
