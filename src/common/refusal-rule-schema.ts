import {z} from 'zod';

/** Schema of a rule that describes responses by which a target proves that it did not run the request. */
export const refusalRuleSchema = z.strictObject({
	status: z.int().min(400).max(599).describe('HTTP status of the refusal.'),
	header: z.string().regex(/^[a-z0-9\-]+$/v).describe('Header, in lower case, that must be present.'),
	value: z.string().describe('Exact value of the header.'),
});
