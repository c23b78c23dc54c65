import type {IncomingMessage, ServerResponse} from 'node:http';
import type {RequestError} from '../common/request-error.js';
import type {RequestRule} from '../common/request-rule.js';
import type {ServiceSpec} from '../common/service-spec.js';
import type {SlotLease} from '../common/slot-lease.js';

/** What the filters know of one request; each filter fills in its own fields. */
export class RequestContext {
	/** Set by the classify filter. */
	service: ServiceSpec | undefined;
	/** Set by the classify filter. */
	rule: RequestRule | undefined;
	/** Set by the deadline filter: time by which the answer must be whole, on the instance's clock, in ms. */
	deadlineAt = Number.POSITIVE_INFINITY;
	/** Set by the retry filter: number of the try, first is 0. */
	attempt = 0;
	/** Set by the retry filter: targets not to use again. */
	readonly excludedTargets: string[] = [];
	/** Set by the admit filter. */
	lease: SlotLease | undefined;
	/** True once a byte of the request may have reached a target. */
	isDispatched = false;
	private readonly _abort = new AbortController();

	/**
	@param request - The caller's request.
	@param response - Where the answer goes.
	@param receivedAt - Arrival of the headers on the instance's clock, in ms.
	*/
	constructor(readonly request: IncomingMessage, readonly response: ServerResponse, readonly receivedAt: number) {}

	/** Aborted when the caller has gone or the deadline has expired; the reason is a request error. */
	get signal(): AbortSignal {
		return this._abort.signal;
	}

	/** Ends all work for the request. */
	abort(reason: RequestError): void {
		this._abort.abort(reason);
	}
}
