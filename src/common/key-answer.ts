/** A small answer that is kept for resends. */
export type KeyAnswer = {
	readonly status: number;
	/** Names and values in turn. */
	readonly rawHeaders: readonly string[];
	/** The body in Base64. */
	readonly body: string;
};
