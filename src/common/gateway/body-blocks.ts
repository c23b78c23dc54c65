/** A body as it was collected. It is not merged, since that would take its memory twice. */
export type BodyBlocks = {
	/** Number of bytes of all blocks together. */
	readonly length: number;
	readonly blocks: readonly Uint8Array[];
};
