/** A configuration between instances as it is sent. */
export type PackedConfiguration = {
	/** Its JSON, compressed, as base64. */
	readonly packed: string;
	/** Time since the registry was seen to have no newer one, in ms. */
	readonly ageMs: number;
};
