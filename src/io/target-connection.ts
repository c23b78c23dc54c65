import type {Socket} from 'node:net';
import {err, ok, type Result} from 'neverthrow';
import {Client, type Dispatcher} from 'undici';
import type {Clock} from '../common/clock.js';
import type {DisposableLike} from '../common/disposable-like.js';
import {Emitter} from '../common/emitter.js';
import {AnswerBody} from './answer-body.js';
import type {ExchangeFailure} from './exchange-failure.js';
import type {TargetAnswer} from './target-answer.js';
import type {TargetRequest} from './target-request.js';

const idleLimitMs = 60_000;

const readRawHeaders = (raw: Dispatcher.DispatchController['rawHeaders']): string[] => Array.isArray(raw)
	? raw.map(item => typeof item === 'string' ? item : item.toString('latin1'))
	: [];

/** One open connection to a target; it carries one request at a time. */
export class TargetConnection implements DisposableLike {
	private readonly _client: Client;
	private readonly _onClosed = new Emitter<void>();
	private _isClosed = false;
	private _requestCount = 0;
	private _lastProofAt: number;

	/**
	@param origin - Scheme, host and port of the target.
	@param _socket - The connected socket; this object owns it.
	@param _clock - Time source for the proof of life.
	*/
	constructor(origin: string, private readonly _socket: Socket, private readonly _clock: Clock) {
		let isTaken = false;
		this._lastProofAt = _clock.now();
		this._client = new Client(origin, {
			pipelining: 1,
			headersTimeout: 0,
			bodyTimeout: 0,
			keepAliveTimeout: idleLimitMs,
			connect(_options, callback) {
				// The library would reconnect on its own; a connection here lives once.
				if (isTaken) {
					callback(new Error('connection closed'), null);
					return;
				}

				isTaken = true;
				// The library does not send the waiting request when the socket is handed over within its own call.
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

	/** Fires once when the connection can carry no more requests. */
	get onClosed() {
		return this._onClosed.event;
	}

	/** True when the connection can carry no more requests. */
	get isClosed(): boolean {
		return this._isClosed;
	}

	/** Requests sent on the connection. */
	get requestCount(): number {
		return this._requestCount;
	}

	/** Time of the last bytes received, or of the connect, on the instance's clock, in ms. */
	get lastProofAt(): number {
		return this._lastProofAt;
	}

	/** Sends a request; resolves at the head of the answer. */
	async sendRequest(request: TargetRequest): Promise<Result<TargetAnswer, ExchangeFailure>> {
		this._requestCount++;
		const bytesBefore = this._socket.bytesWritten;
		return new Promise(resolve => {
			let body: AnswerBody | undefined;
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
					this._lastProofAt = this._clock.now();
					if (status < 200) {
						return;
					}

					body = new AnswerBody(controller);
					resolve(ok({status, rawHeaders: readRawHeaders(controller.rawHeaders), body}));
				},
				onResponseData: (_controller, chunk) => {
					this._lastProofAt = this._clock.now();
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
