/** A value of the configuration service, with the index of its last change. */
export type PlatformValue = {
	readonly key: string;
	/** Value as text; undefined when the key does not exist. */
	readonly text: string | undefined;
	/** Index of the key's last change; 0 when the key does not exist. */
	readonly modifyIndex: number;
	/** Index to pass to the next watch. */
	readonly watchIndex: number;
};
