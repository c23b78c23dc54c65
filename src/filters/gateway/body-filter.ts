import {err, ok, type Result} from 'neverthrow';
import {ByteCollector} from '../../common/byte-collector.js';
import {ErrorKind} from '../../common/error-kind.js';
import {RequestError} from '../../common/request-error.js';
import type {ClientConnections} from '../../controllers/gateway/client-connections.js';
import type {SiteView} from '../../controllers/gateway/site-view.js';
import {hasTooManyPieces} from '../../policy/has-too-many-pieces.js';
import {minRetryAfterMs} from '../../policy/gateway/min-retry-after-ms.js';
import type {GatewayContext} from './gateway-context.js';
import type {GatewayFilter} from './gateway-filter.js';
import type {GatewayNext} from './gateway-next.js';
import type {GatewayResult} from './gateway-result.js';

type BodyFilterOptions = {
	readonly view: SiteView;
	/** Accounts for the bodies with the connections that they arrive on. */
	readonly clients: Pick<ClientConnections, 'take' | 'release'>;
};

/** Buffers the whole request body, so that a slow caller holds no slot at a target and the request can be sent to more than one target. */
export class BodyFilter implements GatewayFilter {
	constructor(private readonly _options: BodyFilterOptions) {}

	get name(): string {
		return 'body';
	}

	async handleRequest(context: GatewayContext, next: GatewayNext): GatewayResult {
		const {view, clients} = this._options;
		const {socket} = context.request;
		const limitBytes = view.configuration?.limits.bodyBytes ?? 0;
		const declaredBytes = Number(context.request.headers['content-length'] ?? 0);
		if (declaredBytes > limitBytes) {
			return err(this._createTooLargeError(limitBytes));
		}

		// A body of declared length is refused before it is read, one of unknown length once it does not fit.
		if (!clients.take(socket, declaredBytes)) {
			return err(this._createMemoryError());
		}

		let takenBytes = declaredBytes;
		let pieceCount = 0;
		const collector = new ByteCollector(declaredBytes);
		const collectPiece = (piece: Uint8Array): RequestError | undefined => {
			pieceCount++;
			const length = collector.length + piece.length;
			if (length > limitBytes) {
				return this._createTooLargeError(limitBytes);
			}

			if (hasTooManyPieces(pieceCount, length)) {
				return new RequestError(ErrorKind.BodyTooLarge, `the body arrives in ${pieceCount} pieces for ${length} bytes`);
			}

			const missingBytes = Math.max(0, collector.computeCapacity(piece.length) - takenBytes);
			if (!clients.take(socket, missingBytes)) {
				return this._createMemoryError();
			}

			takenBytes += missingBytes;
			collector.add(piece);
			return undefined;
		};

		try {
			const readResult = await this._readBody(context, collectPiece);
			if (readResult.isErr()) {
				return err(readResult.error);
			}

			context.body = {length: collector.length, blocks: collector.listBlocks()};
			return await next(context);
		} finally {
			// The context and listeners of the request outlive it, the latter for as long as Node.js or the connection's account refers to the request.
			collector.clear();
			context.body = {length: 0, blocks: []};
			clients.release(socket, takenBytes);
		}
	}

	/** @param collectPiece - Called with each piece of the body; returns the error that ends the request when it cannot be held. */
	private async _readBody({request, signal}: GatewayContext, collectPiece: (piece: Uint8Array) => RequestError | undefined): Promise<Result<void, RequestError>> {
		return new Promise(resolve => {
			const settle = (result: Result<void, RequestError>) => {
				request.off('data', handleData);
				// The rest of the body is read and dropped, so that the response is not lost to a reset of the connection.
				request.resume();
				resolve(result);
			};

			const handleData = (piece: Uint8Array) => {
				const error = collectPiece(piece);
				if (error !== undefined) {
					settle(err(error));
				}
			};

			request.on('data', handleData);
			request.once('end', () => {
				settle(ok());
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
		return new RequestError(ErrorKind.Overloaded, 'the requests in progress take all the memory that they may; this body does not fit', minRetryAfterMs);
	}
}
