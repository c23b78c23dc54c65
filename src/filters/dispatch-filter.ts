import {err, ok, type Result} from 'neverthrow';
import type {Clock} from '../common/clock.js';
import {ErrorKind} from '../common/error-kind.js';
import {ExchangeEnd} from '../common/exchange-end.js';
import {HeaderName} from '../common/header-names.js';
import {RequestError} from '../common/request-error.js';
import type {RequestRule} from '../common/request-rule.js';
import type {ServiceSpec} from '../common/service-spec.js';
import type {SlotLease} from '../common/slot-lease.js';
import type {ConnectionController} from '../controllers/connection-controller.js';
import {checkResponseHead} from '../io/gateway/check-response-head.js';
import type {ExchangeFailure} from '../io/exchange-failure.js';
import type {TargetResponse} from '../io/target-response.js';
import type {TargetConnection} from '../io/target-connection.js';
import {PeakResponseTimes} from '../policy/peak-response-times.js';
import {computeInactivityTimeoutMs} from '../policy/compute-inactivity-timeout-ms.js';
import {hasDelimitedBody} from '../policy/has-delimited-body.js';
import {parseLoadReport} from '../policy/schedule/parse-load-report.js';
import {AttemptInput} from '../policy/attempt-input.js';
import type {AttemptRecord} from '../policy/attempt-record.js';
import type {CallerCheck} from './caller-check.js';
import type {FilterResult} from './filter-result.js';
import type {Filter} from './filter.js';
import {hasBody} from './has-body.js';
import type {RequestContext} from './request-context.js';
import {stripHopHeaders} from './strip-hop-headers.js';

type DispatchOptions = {
	readonly connections: ConnectionController;
	readonly clock: Clock;
	readonly callerCheck: Pick<CallerCheck, 'confirm'>;
	/** Maximum number of connections that this instance may hold to one target of the service. */
	readonly getConnectionLimit: (service: ServiceSpec) => number;
};

type AdmittedRequest = {readonly lease: SlotLease; readonly service: ServiceSpec; readonly rule: RequestRule};
type ConnectedRequest = AdmittedRequest & {readonly connection: TargetConnection};

/** Time since the target last sent data up to which a connection is reused for a request that must not run twice, in ms. */
const nonIdempotentMaxReceiveAgeMs = 100;
/** The same limit for idempotent requests, in ms. */
const idempotentMaxReceiveAgeMs = 30_000;
/** Limit that no open connection meets, so that a new one is opened. */
const newConnectionOnly = Number.NEGATIVE_INFINITY;

const formatRuleName = ({service, rule}: RequestContext): string => `${service?.name}/${rule?.name}`;

/** Sends the request to the target of its slot and waits for the response head. */
export class DispatchFilter implements Filter {
	private readonly _peakResponseTimes = new PeakResponseTimes();

	constructor(private readonly _options: DispatchOptions) {}

	get name(): string {
		return 'dispatch';
	}

	async handleRequest(context: RequestContext): FilterResult {
		const {lease, service, rule} = context;
		if (lease === undefined || service === undefined || rule === undefined) {
			return err(new RequestError(ErrorKind.InternalQueued, 'the request has no slot'));
		}

		return this._dispatch(context, {lease, service, rule}, rule.idempotent ? idempotentMaxReceiveAgeMs : nonIdempotentMaxReceiveAgeMs);
	}

	private async _dispatch(context: RequestContext, admitted: AdmittedRequest, maxReceiveAgeMs: number): FilterResult {
		const {lease, rule} = admitted;
		const record = context.ledger.beginAttempt(rule.idempotent);
		if (record === undefined) {
			lease.release(ExchangeEnd.Unused);
			return err(new RequestError(ErrorKind.InternalDispatched, 'no further attempt: an earlier one may have run this non-idempotent request'));
		}

		const connectionResult = await this._connect(context, record, admitted, maxReceiveAgeMs);
		if (connectionResult.isErr()) {
			return err(connectionResult.error);
		}

		const callerError = await this._checkCaller(context);
		if (callerError !== undefined) {
			this._options.connections.releaseConnection(connectionResult.value);
			record.apply(AttemptInput.Abandon);
			lease.release(ExchangeEnd.Unused);
			return err(callerError);
		}

		return this._exchange(context, record, {...admitted, connection: connectionResult.value});
	}

	/** Returns the reason why the request must no longer be sent; undefined if it may be sent. */
	private async _checkCaller(context: RequestContext): Promise<RequestError | undefined> {
		const isCallerConfirmed = await this._options.callerCheck.confirm(context);
		if (context.signal.aborted) {
			return context.signal.reason as RequestError;
		}

		return isCallerConfirmed ? undefined : new RequestError(ErrorKind.Overloaded, 'the event loop is too far behind to tell whether the caller is still connected');
	}

	/** Acquires a connection; an error proves that nothing was sent. */
	private async _connect(context: RequestContext, record: AttemptRecord, {lease, service, rule}: AdmittedRequest, maxReceiveAgeMs: number): Promise<Result<TargetConnection, RequestError>> {
		record.apply(AttemptInput.Connect);
		const connectionResult = await this._options.connections.acquireConnection({
			target: lease.target,
			limit: this._options.getConnectionLimit(service),
			maxReceiveAgeMs,
			tls: service.tls,
			inactivityTimeoutMs: rule.idempotent ? this._computeInactivityTimeoutMs(context) : Number.POSITIVE_INFINITY,
			signal: context.signal,
		});
		if (connectionResult.isErr()) {
			record.apply(AttemptInput.Abandon);
			lease.release(context.signal.aborted ? ExchangeEnd.Unused : ExchangeEnd.ConnectFailed);
			context.excludedTargets.push(lease.target.id);
		}

		return connectionResult;
	}

	private async _exchange(context: RequestContext, record: AttemptRecord, connected: ConnectedRequest): FilterResult {
		const {lease, service, connection} = connected;
		const {target} = lease;
		record.apply(AttemptInput.Dispatch);
		const dispatchedAt = this._options.clock.now();
		const result = await connection.sendRequest({
			method: context.request.method ?? 'GET',
			path: context.request.url ?? '/',
			rawHeaders: this._createHeaders(context),
			body: hasBody(context.request) ? context.request : undefined,
			signal: context.signal,
		});
		if (result.isErr()) {
			connection.dispose();
			record.apply(result.error.isWritten ? AttemptInput.Lost : AttemptInput.Unwritten);
			if (this._canRetryOnNewConnection(context, connected)) {
				return this._dispatch(context, connected, newConnectionOnly);
			}

			lease.release(context.signal.aborted ? ExchangeEnd.Cancelled : ExchangeEnd.Lost);
			return err(this._convertFailure(context, result.error));
		}

		const response = result.value;
		record.apply(AttemptInput.ResponseStarted);
		this._recordResponseTime(context, dispatchedAt);
		const fault = checkResponseHead(response);
		if (fault !== undefined) {
			connection.dispose();
			record.apply(AttemptInput.Lost);
			lease.release(ExchangeEnd.Failed);
			return err(new RequestError(ErrorKind.AnswerCut, `target ${target.id}: ${fault}`));
		}

		const loadReport = parseLoadReport(response.rawHeaders, service.drainHeader);
		if (this._isNotRunRefusal(service, response)) {
			// A response does not identify its request: if the target wrote the refusal twice, the second copy would pass for the response to the next request.
			connection.dispose();
			record.apply(AttemptInput.Refused);
			context.excludedTargets.push(target.id);
			lease.release(ExchangeEnd.Refused, loadReport);
			return err(new RequestError(ErrorKind.TargetRefused, `target ${target.id} responded with status ${response.status}: the request was not run`));
		}

		if (!hasDelimitedBody(context.request.method ?? 'GET', response.status, response.rawHeaders)) {
			connection.dispose();
			record.apply(AttemptInput.Lost);
			lease.release(ExchangeEnd.Failed);
			return err(new RequestError(ErrorKind.AnswerCut, `the response of target ${target.id} has neither a content length nor chunked encoding`));
		}

		const settle = (isComplete: boolean) => {
			record.apply(isComplete ? AttemptInput.ResponseComplete : AttemptInput.Lost);
			this._releaseOrClose(connection, isComplete);
			const truncatedEnd = context.signal.aborted ? ExchangeEnd.Cancelled : ExchangeEnd.Lost;
			const completeEnd = response.status >= 500 ? ExchangeEnd.Failed : ExchangeEnd.Answered;
			lease.release(isComplete ? completeEnd : truncatedEnd, loadReport);
		};

		if (response.body.isComplete) {
			settle(true);
		} else {
			response.body.onSettled(settle);
		}

		return ok(response);
	}

	private _releaseOrClose(connection: TargetConnection, isComplete: boolean): void {
		if (isComplete) {
			this._options.connections.releaseConnection(connection);
		} else {
			connection.dispose();
		}
	}

	/** Whether the request may be retried in the same slot on a new connection, because a reused connection may have been dead before the request was sent. */
	private _canRetryOnNewConnection(context: RequestContext, {connection, rule}: ConnectedRequest): boolean {
		const {request, signal, ledger} = context;
		return connection.requestCount > 1 && !signal.aborted && !(hasBody(request) && request.readableDidRead) && ledger.canBeginAttempt(rule.idempotent);
	}

	private _recordResponseTime(context: RequestContext, dispatchedAt: number): void {
		const now = this._options.clock.now();
		this._peakResponseTimes.recordResponseTime(formatRuleName(context), now - dispatchedAt, now);
	}

	private _computeInactivityTimeoutMs(context: RequestContext): number {
		const now = this._options.clock.now();
		return computeInactivityTimeoutMs(context.deadlineAt - now, this._peakResponseTimes.getPeakMs(formatRuleName(context), now));
	}

	private _createHeaders(context: RequestContext): string[] {
		const remainingMs = Math.max(1, Math.floor(context.deadlineAt - this._options.clock.now()));
		const omitted = context.span === undefined ? [HeaderName.Timeout] : [HeaderName.Timeout, HeaderName.TraceParent, HeaderName.TraceState];
		const headers = stripHopHeaders(context.request.rawHeaders, omitted);
		headers.push(HeaderName.Timeout, String(remainingMs), ...(context.span?.headers ?? []));
		if (context.attempt > 0) {
			headers.push(HeaderName.Attempt, String(context.attempt));
		}

		return headers;
	}

	private _isNotRunRefusal(service: ServiceSpec, response: TargetResponse): boolean {
		return service.notRunRefusals.some(rule => rule.status === response.status
			&& response.rawHeaders.some((name, index) => index % 2 === 0 && name.toLowerCase() === rule.header && response.rawHeaders[index + 1] === rule.value));
	}

	private _convertFailure(context: RequestContext, failure: ExchangeFailure): RequestError {
		if (context.signal.aborted) {
			return context.signal.reason as RequestError;
		}

		const kind = failure.isWritten ? ErrorKind.ConnectionLost : ErrorKind.ConnectFailed;
		return new RequestError(kind, failure.cause.message);
	}
}
