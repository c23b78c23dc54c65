import {Buffer} from 'node:buffer';
import {createProblem} from '../../common/create-problem.js';
import type {BufferedResponse} from '../../common/gateway/buffered-response.js';
import {ErrorKind} from '../../common/error-kind.js';
import {hasNoBody} from '../../common/has-no-body.js';
import type {RequestError} from '../../common/request-error.js';
import type {CallerConnections} from '../../controllers/caller-connections.js';
import {stripHopHeaders} from '../strip-hop-headers.js';
import type {GatewayContext} from './gateway-context.js';
import type {GatewayFilter} from './gateway-filter.js';
import type {GatewayNext} from './gateway-next.js';
import type {GatewayResult} from './gateway-result.js';

/** Writes the target's complete response, or the problem document of an error, to the caller. */
export class SendResponseFilter implements GatewayFilter {
	constructor(private readonly _connections: Pick<CallerConnections, 'onceEnded'>) {}

	get name(): string {
		return 'answer';
	}

	async handleRequest(context: GatewayContext, next: GatewayNext): GatewayResult {
		this._connections.onceEnded(context, () => {
			context.end();
		});
		const result = await next(context);
		if (context.response.destroyed) {
			return result;
		}

		if (result.isErr()) {
			this._sendProblem(context, result.error);
		} else {
			this._sendResponse(context, result.value);
		}

		return result;
	}

	private _sendResponse({request, response}: GatewayContext, {status, rawHeaders, body}: BufferedResponse): void {
		const isBodiless = hasNoBody(request.method ?? 'GET', status);
		const headers = stripHopHeaders(rawHeaders, isBodiless ? [] : ['content-length']);
		if (!isBodiless) {
			headers.push('content-length', String(body.length));
		}

		response.sendDate = false;
		response.writeHead(status, headers);
		response.end(body);
	}

	private _sendProblem({request, response}: GatewayContext, error: RequestError): void {
		const {status, headers, body} = createProblem(error);
		if (error.retryAfterMs !== undefined) {
			// Callers of a gateway accept fractions of a second, and many of them time out in less than a whole one.
			headers['retry-after'] = (error.retryAfterMs / 1000).toFixed(2);
		}

		if (error.kind === ErrorKind.BodyTooLarge || error.kind === ErrorKind.RequestTooSlow) {
			// The rest of any other body is read and dropped: closing the connection meanwhile would reset it, and the response would be lost.
			response.shouldKeepAlive = false;
		}

		response.writeHead(status, {...headers, 'content-length': Buffer.byteLength(body)});
		response.end(request.method === 'HEAD' ? undefined : body);
	}
}
