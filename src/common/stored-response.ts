/** A small response, stored so that it can be replayed when the caller sends the request again. */
export type StoredResponse = {
	readonly status: number;
	/** Alternating names and values. */
	readonly rawHeaders: readonly string[];
	/** Body as Base64. */
	readonly body: string;
};
