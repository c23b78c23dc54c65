import {
	request as openRequest, type ClientRequest, type IncomingMessage, type RequestOptions,
} from 'node:http';
import {fromThrowable, type Result} from 'neverthrow';
import type {DisposableLike} from '../../common/disposable-like.js';
import type {BufferedResponse} from '../../common/gateway/buffered-response.js';
import {hasNoBody} from '../../common/has-no-body.js';
import {checkResponseHead} from './check-response-head.js';
import {collectResponse} from './collect-response.js';
import type {OutgoingRequest} from './outgoing-request.js';
import type {ProbeRequest} from './probe-request.js';
import {TargetAgent} from './target-agent.js';
import type {TargetExchange} from './target-exchange.js';

type TargetClientOptions = {
	readonly host: string;
	readonly port: number;
	/** Current limit of connections from this instance to the target. */
	readonly getMaxConnections: () => number;
	/** Maximum size of a response body; a larger response fails the exchange. */
	readonly maxResponseBytes: number;
};

/** Time after which an idle connection is closed, in ms; targets close theirs after 10 s or announce a timeout of their own. */
const idleTimeoutMs = 8000;
/** Beginning of the codes of errors of Node's HTTP parser. */
const parserErrorPrefix = 'HPE_';
/** Maximum number of informational (1xx) responses before the final one; more fail the exchange. */
const maxInformationalResponses = 16;
/** Maximum size of the body of a response to a health check, which is dropped. */
const maxProbeBodyBytes = 65_536;
/** Time limit for opening a connection, in ms; a round trip across failure domains takes 3 ms. */
const connectTimeoutMs = 400;

/** Sends requests and health checks to one target over keep-alive connections. */
export class TargetClient implements DisposableLike {
	private readonly _agent: TargetAgent;

	constructor(private readonly _options: TargetClientOptions) {
		this._agent = new TargetAgent({timeout: idleTimeoutMs, noDelay: true});
	}

	/** Whether an open connection is free for a request. */
	get hasIdleConnection(): boolean {
		return Object.keys(this._agent.freeSockets).length > 0;
	}

	/** Sends a request and resolves when the response is complete or can no longer become so. */
	async sendRequest(outgoing: OutgoingRequest): Promise<TargetExchange> {
		this._setConnectionLimit();
		const {method, path, body, signal, memory} = outgoing;
		return new Promise(resolve => {
			const settle = (exchange: TargetExchange) => {
				if (exchange.kind !== 'answer') {
					memory.release();
				}

				resolve(exchange);
			};

			const opened = this._openRequest({method, path, setHost: false});
			if (opened.isErr()) {
				settle({kind: 'unsent', detail: opened.error.message});
				return;
			}

			const request = opened.value;
			let isWritten = false;
			let receivedResponse: IncomingMessage | undefined;
			const fail = (error: NodeJS.ErrnoException) => {
				// Bytes after a complete response are an error of the connection, unless they may be the body of a response whose status was spoiled.
				const isUnexpectedBody = method !== 'HEAD' && hasNoBody(method, receivedResponse?.statusCode ?? 0) && error.code?.startsWith(parserErrorPrefix) === true;
				if (receivedResponse?.complete !== true || isUnexpectedBody) {
					settle({kind: isWritten ? 'lost' : 'unsent', detail: error.message});
				}
			};

			const write = async () => {
				const isConfirmed = await outgoing.confirmSend();
				if (request.destroyed) {
					return;
				}

				if (!isConfirmed) {
					settle({kind: 'unconfirmed'});
					request.destroy();
					return;
				}

				this._addHeaders(request, outgoing);
				isWritten = true;
				this._writeBody(request, body);
			};

			const writeOrFail = async () => {
				try {
					await write();
				} catch (error) {
					// What Node.js refuses to write is noticed before the first byte.
					settle({kind: isWritten ? 'lost' : 'unsent', detail: (error as Error).message});
					request.destroy();
				}
			};

			this._waitForConnect(request, () => {
				void writeOrFail();
			});
			// Listening costs a fraction of the request's own option for a signal.
			const handleAbort = () => {
				request.destroy(new Error('aborted'));
				// A request that is destroyed while queued in the agent emits no event until a connection is free for it.
				if (request.socket === null) {
					settle({kind: 'unsent', detail: 'aborted before a connection was free'});
				}
			};

			if (signal.aborted) {
				handleAbort();
			} else {
				signal.addEventListener('abort', handleAbort, {once: true});
			}

			request.once('close', () => {
				signal.removeEventListener('abort', handleAbort);
				// Node.js closes the connection of a response that switches protocols without an error.
				if (receivedResponse === undefined) {
					settle({kind: isWritten ? 'lost' : 'unsent', detail: 'the connection closed without a final response'});
				}
			});

			request.on('error', fail);
			this._limitInformationalResponses(request);
			request.on('response', response => {
				if (!isWritten) {
					request.destroy(new Error('a response arrived before the request was written'));
					return;
				}

				const head = {status: response.statusCode ?? 0, rawHeaders: response.rawHeaders};
				const fault = checkResponseHead(head);
				if (fault !== undefined) {
					request.destroy(new Error(fault));
					return;
				}

				receivedResponse = response;
				if (!outgoing.canReuseConnection(head)) {
					request.shouldKeepAlive = false;
				}

				collectResponse({method, memory, maxResponseBytes: this._options.maxResponseBytes}, response, settle);
			});
		});
	}

	/** Sends a health check and resolves with the response head; undefined when none arrives in time or the response belongs to another request. */
	async sendProbe({path, host: hostHeader, timeoutMs, isProbeResponse}: ProbeRequest): Promise<Pick<BufferedResponse, 'status' | 'rawHeaders'> | undefined> {
		this._setConnectionLimit();
		return new Promise(resolve => {
			const opened = this._openRequest({path, headers: {host: hostHeader}});
			if (opened.isErr()) {
				resolve(undefined);
				return;
			}

			const request = opened.value;
			this._limitInformationalResponses(request);
			// HTTP/1.1 connections are persistent by default, and traffic between failure domains is costly.
			request.removeHeader('connection');
			// A timer costs a tenth of an abort signal, and several probes are sent per request.
			const timer = setTimeout(() => {
				request.destroy();
			}, timeoutMs);
			const fail = () => {
				clearTimeout(timer);
				resolve(undefined);
			};

			request.on('error', fail);
			// Node.js closes the connection of a response that switches protocols without an error.
			request.once('close', fail);
			request.on('response', response => {
				// The timer runs until the body ends, so that it closes the connection of an endless body.
				response.once('end', () => {
					clearTimeout(timer);
				});
				response.on('error', () => undefined);
				let bodyBytes = 0;
				response.on('data', (chunk: Uint8Array) => {
					bodyBytes += chunk.length;
					if (bodyBytes > maxProbeBodyBytes) {
						request.destroy();
					}
				});
				const {statusCode = 0, rawHeaders} = response;
				if (isProbeResponse(rawHeaders)) {
					resolve({status: statusCode, rawHeaders});
				} else {
					request.destroy();
					resolve(undefined);
				}
			});
			request.end();
		});
	}

	dispose(): void {
		this._agent.destroy();
	}

	private _setConnectionLimit(): void {
		const maxConnections = this._options.getMaxConnections();
		this._agent.maxSockets = maxConnections;
		this._agent.maxFreeSockets = maxConnections;
	}

	/** Creates a request; an error means that Node.js refuses to write its method, path or headers. */
	private _openRequest(options: RequestOptions): Result<ClientRequest, Error> {
		const {host, port} = this._options;
		return fromThrowable(() => openRequest({
			...options, host, port, agent: this._agent,
		}), error => error as Error)();
	}

	private _addHeaders(request: ClientRequest, {createHeaders, body}: OutgoingRequest): void {
		const rawHeaders = createHeaders();
		for (let index = 0; index < rawHeaders.length; index += 2) {
			request.appendHeader(rawHeaders[index] ?? '', rawHeaders[index + 1] ?? '');
		}

		if (body.length > 0) {
			request.setHeader('content-length', body.length);
		}
	}

	private _writeBody(request: ClientRequest, body: OutgoingRequest['body']): void {
		const blocks = 'blocks' in body ? body.blocks : [body];
		for (const block of blocks.slice(0, -1)) {
			request.write(block);
		}

		request.end(body.length > 0 ? blocks.at(-1) : undefined);
	}

	private _limitInformationalResponses(request: ClientRequest): void {
		let count = 0;
		request.on('information', () => {
			count++;
			if (count > maxInformationalResponses) {
				request.destroy(new Error(`more than ${maxInformationalResponses} informational responses`));
			}
		});
	}

	private _waitForConnect(request: ClientRequest, onConnected: () => void): void {
		request.once('socket', socket => {
			if (!socket.connecting) {
				onConnected();
				return;
			}

			const timer = setTimeout(() => {
				socket.destroy(new Error(`no connection within ${connectTimeoutMs} ms`));
			}, connectTimeoutMs);
			const stopTimer = () => {
				clearTimeout(timer);
			};

			socket.once('connect', () => {
				stopTimer();
				// The connection is reused; a listener would keep its first request and response in memory until it closes.
				socket.off('close', stopTimer);
				onConnected();
			});
			socket.once('close', stopTimer);
		});
	}
}
