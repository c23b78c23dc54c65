import type {Readable} from 'node:stream';

/** A request to a target. */
export type TargetRequest = {
	readonly method: string;
	readonly path: string;
	/** Names and values in turn, without hop-by-hop headers. */
	readonly rawHeaders: readonly string[];
	readonly body: Readable | Uint8Array | undefined;
	/** Aborts the exchange and closes the connection, which cancels the request at the target. */
	readonly signal: AbortSignal;
};
