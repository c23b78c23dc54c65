/** Wire format of a configuration between instances. */
export type PackedConfiguration = {
	/** JSON, compressed with raw deflate, as base64. */
	readonly packed: string;
	/** Time since the registry was last seen to have no newer configuration, in ms. */
	readonly ageMs: number;
};
