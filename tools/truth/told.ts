/** What a caller was told about one request. */
export type Told = {
	readonly requestId: string;
	readonly method: string;
	/** Status of the answer; 0 when none arrived. */
	readonly status: number;
	/** Outcome that the system stated; undefined for a target's answer. */
	readonly outcome: string | undefined;
	/** Request that the body names, for the check that answers never cross. */
	readonly answeredId: string | undefined;
	/** Entry that was asked. */
	readonly entry: string;
	readonly error: string | undefined;
	/** Error kind that the system stated; undefined for a target's answer. */
	readonly kind: string | undefined;
	/** Wall-clock times in ms. */
	readonly sentAt: number;
	readonly endedAt: number;
};
