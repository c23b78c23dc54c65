import {err, ok, type Result} from 'neverthrow';
import type {Clock} from '../../common/clock.js';
import {ErrorKind} from '../../common/error-kind.js';
import type {ResponseVerdict} from '../../common/gateway/response-verdict.js';
import {AttemptEnd} from '../../common/gateway/attempt-end.js';
import type {HeaderVocabulary} from '../../common/gateway/header-vocabulary.js';
import type {BufferedResponse} from '../../common/gateway/buffered-response.js';
import {RequestError} from '../../common/request-error.js';
import type {TargetLease} from '../../controllers/gateway/target-lease.js';
import {classifyResponse} from '../../policy/gateway/classify-response.js';
import {parseTargetReport} from '../../policy/gateway/parse-target-report.js';
import {minRetryAfterMs} from '../../policy/gateway/min-retry-after-ms.js';
import type {ResponseMemory} from '../../policy/gateway/response-memory.js';
import {AttemptInput} from '../../policy/attempt-input.js';
import type {AttemptRecord} from '../../policy/attempt-record.js';
import type {CallerCheck} from '../caller-check.js';
import {stripHopHeaders} from '../strip-hop-headers.js';
import type {GatewayContext} from './gateway-context.js';

type AttemptRunnerOptions = {
	readonly headers: HeaderVocabulary;
	readonly clock: Clock;
	readonly callerCheck: CallerCheck;
	/** Limits the memory of all responses that are buffered. */
	readonly responseMemory: Pick<ResponseMemory, 'createHold'>;
};

/** Whether a response belongs to this request and comes from the expected target. */
const isMatchingResponse = (verdict: ResponseVerdict): boolean => verdict !== AttemptEnd.Lost && verdict !== AttemptEnd.Misdirected;

const createOverloadedError = (): RequestError => new RequestError(
	ErrorKind.Overloaded,
	'the event loop is too far behind to tell whether the caller is still connected, or the deadline passed before the request was written',
	minRetryAfterMs,
);

/** Sends a request to the target of a lease and classifies the response. */
export class AttemptRunner {
	constructor(private readonly _options: AttemptRunnerOptions) {}

	/**
	Runs one attempt and releases the lease at its end. Resolves with the target's complete response, or with the error that ended the attempt.
	@param signal - Cancels the attempt.
	*/
	async run(context: GatewayContext, lease: TargetLease, signal: AbortSignal): Promise<Result<BufferedResponse, RequestError>> {
		const record = context.ledger.beginAttempt(context.route?.isIdempotent ?? false);
		if (record === undefined) {
			lease.release(AttemptEnd.Unused);
			return err(new RequestError(ErrorKind.InternalDispatched, 'no further attempt: an earlier one may have run this non-idempotent request'));
		}

		record.apply(AttemptInput.Connect);
		const isCallerConfirmed = await this._options.callerCheck.confirm(context);
		if (signal.aborted || this._options.clock.now() >= context.deadlineAt) {
			record.apply(AttemptInput.Abandon);
			lease.release(AttemptEnd.Unused);
			return err(context.signal.aborted ? context.signal.reason as RequestError : new RequestError(ErrorKind.DeadlineExpiredQueued, 'the deadline expired before dispatch'));
		}

		if (!isCallerConfirmed) {
			record.apply(AttemptInput.Abandon);
			lease.release(AttemptEnd.Unused);
			return err(createOverloadedError());
		}

		context.attemptedTargets.push(lease.target.id);
		const recordedLease = this._recordOnRelease(context, lease);
		record.apply(AttemptInput.Dispatch);
		const memory = this._options.responseMemory.createHold();
		const exchange = await lease.client.sendRequest({
			method: context.request.method ?? 'GET',
			path: context.request.url ?? '/',
			body: context.body,
			createHeaders: () => this._createHeaders(context, lease),
			confirmSend: async () => await this._options.callerCheck.confirm(context) && lease.canSend() && this._options.clock.now() < context.deadlineAt,
			canReuseConnection: head => isMatchingResponse(classifyResponse(head, this._options.headers, context.requestId)),
			memory,
			signal,
		});
		switch (exchange.kind) {
			case 'unsent': {
				record.apply(AttemptInput.Unwritten);
				recordedLease.release(signal.aborted ? AttemptEnd.Cancelled : AttemptEnd.ConnectFailed);
				return err(new RequestError(ErrorKind.ConnectFailed, `target ${lease.target.id}: ${exchange.detail}`));
			}

			case 'unconfirmed': {
				record.apply(AttemptInput.Unwritten);
				recordedLease.release(AttemptEnd.Unused);
				return err(lease.canSend()
					? createOverloadedError()
					: new RequestError(ErrorKind.TargetRefused, `target ${lease.target.id} announced that it accepts no requests before this one was written`));
			}

			case 'lost': {
				context.sentCount++;
				record.apply(AttemptInput.Lost);
				recordedLease.release(signal.aborted ? AttemptEnd.Cancelled : AttemptEnd.Lost);
				return err(this._createLossError(context, lease, exchange.detail));
			}

			case 'answer': {
				context.sentCount++;
				const result = this._handleResponse(context, recordedLease, record, exchange.answer);
				if (result.isErr()) {
					memory.release();
					return result;
				}

				// A caller that does not read its response may lose it only after the time for which it waits.
				memory.setEviction(context.deadlineAt, () => {
					context.response.destroy();
				});
				context.keepUntilEnd(memory);
				return result;
			}
		}
	}

	/** Wraps a lease so that its release also adds the attempt to the request's log entries. */
	private _recordOnRelease(context: GatewayContext, lease: TargetLease): TargetLease {
		const {clock, callerCheck} = this._options;
		const startedAt = clock.now();
		const callerSeenMs = Math.round(callerCheck.getAgeMs());
		return {
			...lease,
			release(end, report) {
				context.attempts.push({
					target: lease.target.id,
					end,
					afterMs: Math.round(startedAt - context.receivedAt),
					tookMs: Math.round(clock.now() - startedAt),
					callerSeenMs,
					...(lease.report !== undefined && {slowdown: lease.report.load.slowdown, reportAgeMs: Math.round(lease.report.ageMs)}),
				});
				lease.release(end, report);
			},
		};
	}

	private _handleResponse(context: GatewayContext, lease: TargetLease, record: AttemptRecord, response: BufferedResponse): Result<BufferedResponse, RequestError> {
		const {headers} = this._options;
		const end = classifyResponse(response, headers, context.requestId);
		record.apply(AttemptInput.ResponseStarted);
		lease.release(end, isMatchingResponse(end) ? parseTargetReport(response, headers) : undefined);
		switch (end) {
			case AttemptEnd.Refused:
			case AttemptEnd.Misdirected: {
				record.apply(AttemptInput.Refused);
				return err(new RequestError(ErrorKind.TargetRefused, `target ${lease.target.id} responded with status ${response.status}: the request was not run`));
			}

			case AttemptEnd.RefusedUnproven: {
				record.apply(AttemptInput.Lost);
				return err(new RequestError(ErrorKind.TargetRefusedUnproven, `target ${lease.target.id} responded with status ${response.status} without stating that it did not run the request`));
			}

			case AttemptEnd.Lost: {
				record.apply(AttemptInput.Lost);
				return err(new RequestError(ErrorKind.AnswerCut, `target ${lease.target.id} sent a response that does not belong to this request`));
			}

			case AttemptEnd.Answered:
			case AttemptEnd.Failed: {
				record.apply(AttemptInput.ResponseComplete);
				return ok(response);
			}
		}
	}

	private _createLossError(context: GatewayContext, lease: TargetLease, detail: string): RequestError {
		return context.signal.aborted
			? context.signal.reason as RequestError
			: new RequestError(ErrorKind.ConnectionLost, `target ${lease.target.id}: ${detail}`);
	}

	private _createHeaders(context: GatewayContext, lease: TargetLease): string[] {
		const {headers, clock} = this._options;
		const remainingMs = Math.max(1, Math.floor(context.deadlineAt - clock.now()));
		const requestHeaders = stripHopHeaders(context.request.rawHeaders, [headers.timeoutMs, headers.expectedTarget, 'content-length']);
		requestHeaders.push(headers.timeoutMs, String(remainingMs), headers.expectedTarget, lease.target.id);
		return requestHeaders;
	}
}
