/** A response of a target that has been received completely. */
export type BufferedResponse = {
	readonly status: number;
	/** Alternating names and values, as received. */
	readonly rawHeaders: readonly string[];
	readonly body: Uint8Array;
};
