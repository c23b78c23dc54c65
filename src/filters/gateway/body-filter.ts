import {Buffer} from 'node:buffer';
import {err, ok, type Result} from 'neverthrow';
import {ErrorKind} from '../../common/error-kind.js';
import {RequestError} from '../../common/request-error.js';
import type {SiteView} from '../../controllers/gateway/site-view.js';
import type {HeldBytes} from '../../policy/gateway/held-bytes.js';
import {minRetryAfterMs} from '../../policy/gateway/min-retry-after-ms.js';
import type {GatewayContext} from './gateway-context.js';
import type {GatewayFilter} from './gateway-filter.js';
import type {GatewayNext} from './gateway-next.js';
import type {GatewayResult} from './gateway-result.js';

type BodyFilterOptions = {
	readonly view: SiteView;
	/** Limits the bodies that all requests in progress hold together. */
	readonly heldBytes: HeldBytes;
};

/** Buffers the whole request body, so that a slow caller holds no slot at a target and the request can be sent to more than one target. */
export class BodyFilter implements GatewayFilter {
	constructor(private readonly _options: BodyFilterOptions) {}

	get name(): string {
		return 'body';
	}

	async handleRequest(context: GatewayContext, next: GatewayNext): GatewayResult {
		const {view, heldBytes} = this._options;
		const limitBytes = view.configuration?.limits.bodyBytes ?? 0;
		const declaredBytes = Number(context.request.headers['content-length'] ?? 0);
		if (declaredBytes > limitBytes) {
			return err(this._createTooLargeError(limitBytes));
		}

		// A body of declared length is refused before it is read, one of unknown length once it does not fit.
		if (!heldBytes.tryTake(declaredBytes)) {
			return err(this._createMemoryError());
		}

		let takenBytes = declaredBytes;
		const holdBytes = (length: number): RequestError | undefined => {
			if (length > limitBytes) {
				return this._createTooLargeError(limitBytes);
			}

			const missingBytes = Math.max(0, length - takenBytes);
			if (!heldBytes.tryTake(missingBytes)) {
				return this._createMemoryError();
			}

			takenBytes += missingBytes;
			return undefined;
		};

		try {
			const bodyResult = await this._readBody(context, holdBytes);
			if (bodyResult.isErr()) {
				return err(bodyResult.error);
			}

			context.body = bodyResult.value;
			return await next(context);
		} finally {
			heldBytes.release(takenBytes);
		}
	}

	/** @param holdBytes - Called with the length read so far; returns the error that ends the request when it is too long. */
	private async _readBody({request, signal}: GatewayContext, holdBytes: (length: number) => RequestError | undefined): Promise<Result<Uint8Array, RequestError>> {
		const chunks: Uint8Array[] = [];
		let length = 0;
		return new Promise(resolve => {
			const settle = (result: Result<Uint8Array, RequestError>) => {
				request.off('data', collectChunk);
				// The rest of the body is read and dropped, so that the response is not lost to a reset of the connection.
				request.resume();
				resolve(result);
			};

			const collectChunk = (chunk: Uint8Array) => {
				length += chunk.length;
				const error = holdBytes(length);
				if (error === undefined) {
					chunks.push(chunk);
				} else {
					settle(err(error));
				}
			};

			request.on('data', collectChunk);
			request.once('end', () => {
				settle(ok(Buffer.concat(chunks)));
			});
			request.once('error', error => {
				settle(err(new RequestError(ErrorKind.CallerGone, error.message)));
			});
			signal.addEventListener('abort', () => {
				settle(err(signal.reason as RequestError));
			}, {once: true});
		});
	}

	private _createTooLargeError(limitBytes: number): RequestError {
		return new RequestError(ErrorKind.BodyTooLarge, `the body has more than ${limitBytes} bytes`);
	}

	private _createMemoryError(): RequestError {
		return new RequestError(ErrorKind.Overloaded, `the bodies of the requests in progress take ${this._options.heldBytes.held} bytes; this one does not fit`, minRetryAfterMs);
	}
}
