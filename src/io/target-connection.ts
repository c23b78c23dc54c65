import type {Socket} from 'node:net';
import {err, ok, type Result} from 'neverthrow';
import {Client, type Dispatcher} from 'undici';
import type {Clock} from '../common/clock.js';
import type {DisposableLike} from '../common/disposable-like.js';
import {Emitter} from '../common/emitter.js';
import {ResponseBody} from './response-body.js';
import type {ExchangeFailure} from './exchange-failure.js';
import type {TargetResponse} from './target-response.js';
import type {TargetRequest} from './target-request.js';

const idleTimeoutMs = 60_000;

const readRawHeaders = (raw: Dispatcher.DispatchController['rawHeaders']): string[] => Array.isArray(raw)
	? raw.map(item => typeof item === 'string' ? item : item.toString('latin1'))
	: [];

/** An open HTTP/1.1 connection to a target; it carries one request at a time. */
export class TargetConnection implements DisposableLike {
	private readonly _client: Client;
	private readonly _onClosed = new Emitter<void>();
	private _isClosed = false;
	private _requestCount = 0;
	private _lastReceivedAt: number;

	/**
	@param origin - Scheme, host and port of the target.
	@param _socket - The connected socket; this object owns it.
	@param _clock - Time source of `lastReceivedAt`.
	*/
	constructor(origin: string, private readonly _socket: Socket, private readonly _clock: Clock) {
		let isSocketUsed = false;
		this._lastReceivedAt = _clock.now();
		this._client = new Client(origin, {
			pipelining: 1,
			headersTimeout: 0,
			bodyTimeout: 0,
			keepAliveTimeout: idleTimeoutMs,
			connect(_options, callback) {
				// Undici reconnects on its own, but this object stands for a single connection.
				if (isSocketUsed) {
					callback(new Error('connection closed'), null);
					return;
				}

				isSocketUsed = true;
				// Undici does not send the pending request when the callback runs synchronously.
				queueMicrotask(() => {
					callback(null, _socket);
				});
			},
		});
		_socket.once('close', () => {
			this._close();
		});
		this._client.on('disconnect', () => {
			this._close();
		});
	}

	/** Fires once when the connection is closed and can carry no more requests. */
	get onClosed() {
		return this._onClosed.event;
	}

	get isClosed(): boolean {
		return this._isClosed;
	}

	/** Number of requests sent on the connection, the one in progress included. */
	get requestCount(): number {
		return this._requestCount;
	}

	/** Time of the last response bytes received, or of connecting, in ms on the instance's clock. */
	get lastReceivedAt(): number {
		return this._lastReceivedAt;
	}

	/** Sends a request and resolves when the head of the final response arrives. */
	async sendRequest(request: TargetRequest): Promise<Result<TargetResponse, ExchangeFailure>> {
		this._requestCount++;
		const bytesBefore = this._socket.bytesWritten;
		return new Promise(resolve => {
			let body: ResponseBody | undefined;
			let removeAbort: (() => void) | undefined;
			const fail = (cause: Error) => {
				removeAbort?.();
				if (body === undefined) {
					resolve(err({cause, isWritten: this._socket.bytesWritten !== bytesBefore}));
				} else {
					body.fail(cause);
				}
			};

			this._client.dispatch({
				method: request.method,
				path: request.path,
				headers: request.rawHeaders as string[],
				body: request.body,
			}, {
				onRequestStart(controller) {
					const abort = () => {
						controller.abort(request.signal.reason as Error);
					};

					if (request.signal.aborted) {
						abort();
						return;
					}

					request.signal.addEventListener('abort', abort, {once: true});
					removeAbort = () => {
						request.signal.removeEventListener('abort', abort);
					};
				},
				onResponseStart: (controller, status) => {
					this._lastReceivedAt = this._clock.now();
					if (status < 200) {
						return;
					}

					body = new ResponseBody(controller);
					resolve(ok({status, rawHeaders: readRawHeaders(controller.rawHeaders), body}));
				},
				onResponseData: (_controller, chunk) => {
					this._lastReceivedAt = this._clock.now();
					body?.push(chunk);
				},
				onResponseEnd() {
					removeAbort?.();
					body?.end();
				},
				onResponseError(_controller, error) {
					fail(error);
				},
			});
		});
	}

	dispose(): void {
		this._close();
	}

	private _close(): void {
		if (this._isClosed) {
			return;
		}

		this._isClosed = true;
		this._socket.destroy();
		void this._client.destroy();
		this._onClosed.fire();
		this._onClosed.dispose();
	}
}
