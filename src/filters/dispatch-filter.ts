import {err, ok} from 'neverthrow';
import type {Clock} from '../common/clock.js';
import {ErrorKind} from '../common/error-kind.js';
import {ExchangeEnd} from '../common/exchange-end.js';
import {HeaderName} from '../common/header-names.js';
import {RequestError} from '../common/request-error.js';
import type {ServiceSpec} from '../common/service-spec.js';
import type {ConnectionController} from '../controllers/connection-controller.js';
import type {ExchangeFailure} from '../io/exchange-failure.js';
import type {TargetAnswer} from '../io/target-answer.js';
import type {FilterResult} from './filter-result.js';
import type {Filter} from './filter.js';
import type {RequestContext} from './request-context.js';
import {stripHopHeaders} from './strip-hop-headers.js';

type DispatchOptions = {
	readonly connections: ConnectionController;
	readonly clock: Clock;
	/** Connections that this instance may hold to one target of the service. */
	readonly getConnectionLimit: (service: ServiceSpec) => number;
};

const provedMs = 1000;
const idleMs = 60_000;

/** Sends the request to the target of its slot and waits for the head of the answer. */
export class DispatchFilter implements Filter {
	constructor(private readonly _options: DispatchOptions) {}

	get name(): string {
		return 'dispatch';
	}

	async handleRequest(context: RequestContext): FilterResult {
		const {lease, service, rule} = context;
		if (lease === undefined || service === undefined || rule === undefined) {
			return err(new RequestError(ErrorKind.InternalQueued, 'the request has no slot'));
		}

		const {target} = lease;
		const acquired = await this._options.connections.acquireConnection({target, limit: this._options.getConnectionLimit(service), maxProofAgeMs: rule.idempotent ? idleMs : provedMs});
		if (acquired.isErr()) {
			lease.release(ExchangeEnd.ConnectFailed);
			context.excludedTargets.push(target.id);
			return err(acquired.error);
		}

		const connection = acquired.value;
		context.isDispatched = true;
		const result = await connection.sendRequest({
			method: context.request.method ?? 'GET',
			path: context.request.url ?? '/',
			rawHeaders: this._createHeaders(context),
			body: this._hasBody(context) ? context.request : undefined,
			signal: context.signal,
		});
		if (result.isErr()) {
			connection.dispose();
			context.isDispatched = result.error.isWritten;
			lease.release(context.signal.aborted ? ExchangeEnd.Cancelled : ExchangeEnd.Lost);
			return err(this._explainFailure(context, result.error));
		}

		const answer = result.value;
		if (this._isProvenRefusal(service, answer)) {
			answer.body.discard();
			connection.dispose();
			context.isDispatched = false;
			context.excludedTargets.push(target.id);
			lease.release(ExchangeEnd.Refused);
			return err(new RequestError(ErrorKind.TargetRefused, `target ${target.id} answered ${answer.status} as not run`));
		}

		const settle = (isWhole: boolean) => {
			if (isWhole) {
				this._options.connections.releaseConnection(target, connection);
			} else {
				connection.dispose();
			}

			lease.release(isWhole ? ExchangeEnd.Answered : ExchangeEnd.Lost);
		};

		if (answer.body.isWhole) {
			settle(true);
		} else {
			answer.body.onSettled(settle);
		}

		return ok(answer);
	}

	private _createHeaders(context: RequestContext): string[] {
		const remainingMs = Math.max(1, Math.floor(context.deadlineAt - this._options.clock.now()));
		const headers = stripHopHeaders(context.request.rawHeaders, [HeaderName.Timeout]);
		headers.push(HeaderName.Timeout, String(remainingMs));
		return headers;
	}

	private _hasBody(context: RequestContext): boolean {
		const {headers} = context.request;
		return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
	}

	private _isProvenRefusal(service: ServiceSpec, answer: TargetAnswer): boolean {
		return service.notRunRefusals.some(rule => rule.status === answer.status
			&& answer.rawHeaders.some((name, index) => index % 2 === 0 && name.toLowerCase() === rule.header && answer.rawHeaders[index + 1] === rule.value));
	}

	private _explainFailure(context: RequestContext, failure: ExchangeFailure): RequestError {
		if (context.signal.aborted) {
			return context.signal.reason as RequestError;
		}

		const kind = failure.isWritten ? ErrorKind.ConnectionLost : ErrorKind.ConnectFailed;
		return new RequestError(kind, failure.cause.message);
	}
}
