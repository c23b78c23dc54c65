import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {err, ok} from 'neverthrow';
import type {Clock} from '../common/clock.js';
import {ErrorKind} from '../common/error-kind.js';
import {HeaderName} from '../common/header-names.js';
import type {StoredResponse} from '../common/stored-response.js';
import type {KeyReport} from '../common/key-report.js';
import {Outcome} from '../common/outcome.js';
import {RequestError} from '../common/request-error.js';
import type {ServiceSpec} from '../common/service-spec.js';
import type {KeyController} from '../controllers/key-controller.js';
import {ResponseBody} from '../io/response-body.js';
import type {TargetResponse} from '../io/target-response.js';
import {parseKeyHeaders} from '../policy/parse-key-headers.js';
import type {FilterResult} from './filter-result.js';
import type {Filter} from './filter.js';
import type {NextFilter} from './next-filter.js';
import type {RequestContext} from './request-context.js';
import {stripHopHeaders} from './strip-hop-headers.js';

type IdempotencyFilterOptions = {
	readonly keys: KeyController;
	readonly clock: Clock;
};

type GrantedClaim = Parameters<KeyController['settleClaim']>[0];

/** Maximum size of a response body that is stored for resends, in bytes. */
const maxStoredBytes = 4096;

const getHeader = (context: RequestContext, name: HeaderName): string | undefined => {
	const value = context.request.headers[name];
	return Array.isArray(value) ? value.join(', ') : value;
};

const createFingerprint = ({request}: RequestContext): string => createHash('sha256')
	.update(`${request.method}\n${request.url}\n${request.headers['content-length'] ?? ''}\n${request.headers['content-type'] ?? ''}`)
	.digest('base64');

const encodeResponse = (response: TargetResponse): StoredResponse | undefined => {
	const {captured} = response.body;
	return captured === undefined ? undefined : {status: response.status, rawHeaders: stripHopHeaders(response.rawHeaders), body: Buffer.from(captured).toString('base64')};
};

const decodeResponse = (storedResponse: StoredResponse): TargetResponse => ({
	status: storedResponse.status,
	rawHeaders: [...storedResponse.rawHeaders, HeaderName.Replayed, 'true'],
	body: ResponseBody.createComplete(Buffer.from(storedResponse.body, 'base64')),
});

/** Runs the request of an idempotency key once and replays the stored response to resends. */
export class IdempotencyFilter implements Filter {
	constructor(private readonly _options: IdempotencyFilterOptions) {}

	get name(): string {
		return 'idempotency';
	}

	async handleRequest(context: RequestContext, next: NextFilter): FilterResult {
		const {service, rule} = context;
		const keyHeader = getHeader(context, HeaderName.IdempotencyKey);
		if (service === undefined || rule === undefined || rule.idempotent || keyHeader === undefined) {
			return next(context);
		}

		const parsed = parseKeyHeaders(keyHeader, getHeader(context, HeaderName.FirstSentAgo));
		if (parsed.isErr()) {
			return err(new RequestError(ErrorKind.MalformedRequest, parsed.error));
		}

		return this._claimKey(context, next, {service, ...parsed.value});
	}

	private async _claimKey(context: RequestContext, next: NextFilter, {service, key, firstSentAgoMs}: {service: ServiceSpec; key: string; firstSentAgoMs: number | undefined}): FilterResult {
		const result = await this._options.keys.claimKey({
			service: service.name, key, fingerprint: createFingerprint(context), firstSentAgoMs, memoryMs: service.keyMemoryMs,
		});
		switch (result.kind) {
			case 'granted': {
				return this._runClaimed(context, next, result.granted);
			}

			case 'known': {
				return this._waitForFirstRequest(context, result.report, key);
			}

			case 'conflict': {
				return err(new RequestError(ErrorKind.KeyConflict, 'the key was already used with another method, path, body length or content type'));
			}

			case 'unvouched': {
				return err(new RequestError(ErrorKind.KeyUnvouched, 'an instance that cannot be reached may have accepted the first request with this key'));
			}

			case 'full': {
				return err(this._createRefusal(ErrorKind.QueueFull, firstSentAgoMs, 'no more idempotency keys can be stored'));
			}

			case 'unreachable': {
				return err(this._createRefusal(ErrorKind.KeyOwnersUnreachable, firstSentAgoMs, 'no owner of the key responded'));
			}
		}
	}

	/** Creates the error of a refused request. A resend gets `KeyUnvouched`, because its refusal says nothing about whether the first request ran. */
	private _createRefusal(kind: ErrorKind, firstSentAgoMs: number | undefined, detail: string): RequestError {
		return new RequestError(firstSentAgoMs === undefined ? kind : ErrorKind.KeyUnvouched, detail);
	}

	private async _runClaimed(context: RequestContext, next: NextFilter, granted: GrantedClaim): FilterResult {
		const {keys} = this._options;
		let result: Awaited<FilterResult>;
		try {
			result = await next(context);
		} catch (error) {
			keys.settleClaim(granted, context.ledger.outcome);
			throw error;
		}

		if (result.isErr()) {
			keys.settleClaim(granted, context.ledger.outcome);
			return result;
		}

		const response = result.value;
		const settle = (isComplete: boolean) => {
			keys.settleClaim(granted, isComplete ? Outcome.Ran : Outcome.Unknown, isComplete ? encodeResponse(response) : undefined);
		};

		response.body.capture(maxStoredBytes);
		if (response.body.isComplete) {
			settle(true);
		} else {
			response.body.onSettled(settle);
		}

		return result;
	}

	/** Waits for the first request with the key, whichever instance runs it; if the wait ends early, its outcome stays unknown. */
	private async _waitForFirstRequest(context: RequestContext, knownReport: KeyReport, key: string): FilterResult {
		const waitMs = Math.max(0, Math.floor(context.deadlineAt - this._options.clock.now()));
		const report = await this._options.keys.waitForHolder(knownReport, context.service?.name ?? '', key, waitMs);
		switch (report?.outcome) {
			case Outcome.Ran: {
				return report.answer === undefined
					? err(new RequestError(ErrorKind.KeyAnswered, 'the response was too large to be stored'))
					: ok(decodeResponse(report.answer));
			}

			case Outcome.NotRun: {
				return err(new RequestError(ErrorKind.TargetRefused, 'the first request with this key was not run'));
			}

			case Outcome.Unknown:
			case undefined: {
				return err(new RequestError(ErrorKind.KeyUnvouched, 'the outcome of the first request with this key is not known'));
			}
		}
	}
}
