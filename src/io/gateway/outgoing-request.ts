import type {BodyBlocks} from '../../common/gateway/body-blocks.js';
import type {BufferedResponse} from '../../common/gateway/buffered-response.js';
import type {ResponseHold} from '../../policy/gateway/response-hold.js';

/** A request to a target with its complete body. */
export type OutgoingRequest = {
	readonly method: string;
	readonly path: string;
	readonly body: Uint8Array | BodyBlocks;
	/** Returns alternating names and values, without hop-by-hop and framing headers. Called when the request is written, which may be long after `sendRequest` was called. */
	readonly createHeaders: () => readonly string[];
	/** Called once a connection is open; resolves with whether the request may still be written. */
	readonly confirmSend: () => Promise<boolean>;
	/** Whether the connection may be reused after a response with this head; not when the response belongs to another request. */
	readonly canReuseConnection: (head: Pick<BufferedResponse, 'status' | 'rawHeaders'>) => boolean;
	/** Holds the memory of the buffered response; the client enlarges it, and releases it unless the response is complete. */
	readonly memory: ResponseHold;
	/** Aborting it ends the exchange and closes the connection, which cancels the request at the target. */
	readonly signal: AbortSignal;
};
