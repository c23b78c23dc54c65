import type {Readable} from 'node:stream';

/** A request to a target, with a body in memory or as a stream. */
export type TargetRequest = {
	readonly method: string;
	readonly path: string;
	/** Alternating names and values, without hop-by-hop headers. */
	readonly rawHeaders: readonly string[];
	readonly body: Readable | Uint8Array | undefined;
	/** Aborting it ends the exchange and closes the connection, which cancels the request at the target. */
	readonly signal: AbortSignal;
};
