/** Wire format of a configuration between instances. */
export type PackedConfiguration = {
	/** JSON, compressed with raw deflate, as base64. */
	readonly packed: string;
	/** Version of the packed configuration, so that one that is no longer needed is not unpacked. Absent in answers of earlier versions of the program. */
	readonly version?: number | undefined;
	/** Time since the configuration was last confirmed to be the newest in the registry, in ms. */
	readonly ageMs: number;
};
