import {z} from 'zod';

/** Schema of an answer by which a target proves that it did not run the request. */
export const refusalRuleSchema = z.strictObject({
	/** HTTP status of the refusal. */
	status: z.int().min(400).max(599),
	/** Header, in lower case, that must be present. */
	header: z.string().regex(/^[a-z0-9\-]+$/v),
	/** Exact value of the header. */
	value: z.string(),
});
