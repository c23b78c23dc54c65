/** A value of the configuration service with the index at which it was last changed. */
export type PlatformValue = {
	readonly key: string;
	/** Text of the value; undefined when the key does not exist. */
	readonly text: string | undefined;
	/** Index of the last change of the key; 0 when the key does not exist. */
	readonly modifyIndex: number;
	/** Index to wait on in the next watch. */
	readonly watchIndex: number;
};
