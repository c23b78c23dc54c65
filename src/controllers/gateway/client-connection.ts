import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {ClientState} from '../../policy/gateway/client-state.js';

type OpenRequest = {readonly request: IncomingMessage; readonly response: ServerResponse};

/** Bytes that a client has to send or read between two checks so that it counts as making progress; a kilobyte a second at four checks a second. */
const minProgressBytes = 256;

/** A connection of a client: what it holds and whether it makes progress. */
export class ClientConnection implements ClientState {
	heldBytes = 0;
	stalledChecks = 0;
	/** Whether the instance has closed the connection. */
	isClosing = false;
	/** Bytes that the socket may have read at most until it is closed, once the response to an incomplete request was sent. */
	maxBytesRead = Number.POSITIVE_INFINITY;
	private readonly _openRequests = new Map<ServerResponse, OpenRequest>();
	private _hasHadRequests = false;
	/** Whether the rest of a body follows an answered request. The request itself is not kept, since it refers to its head and, by its listeners, to more. */
	private _isBodyPending = false;
	private _movedBytes = 0;

	constructor(readonly socket: Socket) {}

	/** Number of requests in progress. */
	get requestCount(): number {
		return this._openRequests.size;
	}

	get isIdle(): boolean {
		return this._openRequests.size === 0 && this._hasHadRequests && !this._isBodyPending;
	}

	/** Whether the client has sent or read enough since the last check, or is served. */
	get isProgressing(): boolean {
		return this._isServed || this._countMovedBytes() - this._movedBytes >= minProgressBytes;
	}

	addRequest(request: IncomingMessage, response: ServerResponse): void {
		this._openRequests.set(response, {request, response});
		this._hasHadRequests = true;
		this._isBodyPending = false;
		this.stalledChecks = 0;
	}

	removeRequest(response: ServerResponse): void {
		const request = this._openRequests.get(response)?.request;
		if (request?.complete === false) {
			this._isBodyPending = true;
			request.once('end', () => {
				this._isBodyPending = false;
			});
		}

		this._openRequests.delete(response);
		this.stalledChecks = 0;
	}

	/** Compares what the client has sent and read with the last check. */
	checkProgress(): void {
		this.stalledChecks = this.isProgressing ? 0 : this.stalledChecks + 1;
		this._movedBytes = this._countMovedBytes();
	}

	/** Whether a request that has arrived waits for its response. */
	private get _isServed(): boolean {
		for (const {request, response} of this._openRequests.values()) {
			if (request.complete && !response.writableEnded) {
				return true;
			}
		}

		return false;
	}

	private _countMovedBytes(): number {
		const {bytesRead, bytesWritten, writableLength} = this.socket;
		return bytesRead + bytesWritten - writableLength;
	}
}
