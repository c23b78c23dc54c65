import type {ResponseBody} from './response-body.js';

/** A target's response: its head, and a body that may still be arriving. */
export type TargetResponse = {
	readonly status: number;
	/** Alternating names and values, as received. */
	readonly rawHeaders: readonly string[];
	readonly body: ResponseBody;
};
