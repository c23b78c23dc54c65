import {Buffer} from 'node:buffer';
import {err, ok, type Result} from 'neverthrow';
import {ErrorKind} from '../../common/error-kind.js';
import {RequestError} from '../../common/request-error.js';
import type {SiteView} from '../../controllers/gateway/site-view.js';
import type {GatewayContext} from './gateway-context.js';
import type {GatewayFilter} from './gateway-filter.js';
import type {GatewayNext} from './gateway-next.js';
import type {GatewayResult} from './gateway-result.js';

/** Buffers the whole request body, so that the request can be sent to more than one target. */
export class BodyFilter implements GatewayFilter {
	constructor(private readonly _view: SiteView) {}

	get name(): string {
		return 'body';
	}

	async handleRequest(context: GatewayContext, next: GatewayNext): GatewayResult {
		const limitBytes = this._view.configuration?.limits.bodyBytes ?? 0;
		const bodyResult = await this._readBody(context, limitBytes);
		if (bodyResult.isErr()) {
			return err(bodyResult.error);
		}

		context.body = bodyResult.value;
		return next(context);
	}

	private async _readBody({request, signal}: GatewayContext, limitBytes: number): Promise<Result<Uint8Array, RequestError>> {
		const chunks: Uint8Array[] = [];
		let length = 0;
		return new Promise(resolve => {
			request.on('data', (chunk: Uint8Array) => {
				chunks.push(chunk);
				length += chunk.length;
				if (length > limitBytes) {
					resolve(err(new RequestError(ErrorKind.BodyTooLarge, `the body has more than ${limitBytes} bytes`)));
				}
			});
			request.on('end', () => {
				resolve(ok(Buffer.concat(chunks)));
			});
			request.on('error', error => {
				resolve(err(new RequestError(ErrorKind.CallerGone, error.message)));
			});
			signal.addEventListener('abort', () => {
				resolve(err(signal.reason as RequestError));
			}, {once: true});
		});
	}
}
