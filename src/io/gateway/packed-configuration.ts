/** Wire format of a configuration between instances. */
export type PackedConfiguration = {
	/** JSON, compressed with raw deflate, as base64. */
	readonly packed: string;
	/** Time since the configuration was last confirmed to be the newest in the registry, in ms. */
	readonly ageMs: number;
};
