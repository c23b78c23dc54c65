/** A target's answer that has arrived whole. */
export type WholeAnswer = {
	readonly status: number;
	/** Names and values in turn, as received. */
	readonly rawHeaders: readonly string[];
	readonly body: Uint8Array;
};
