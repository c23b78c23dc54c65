import {z} from 'zod';
import {RequestClass} from './request-class.js';
import {RequestSize} from './request-size.js';

/** Schema of one rule that classifies requests; the first rule that matches applies. */
export const requestRuleSchema = z.strictObject({
	/** Name for logs and metrics, unique within the service. */
	name: z.string().min(1).max(64),
	/** HTTP methods that match; empty means any. */
	methods: z.array(z.string().regex(/^[A-Z]+$/v)).default([]),
	/** Path prefix that matches. */
	pathPrefix: z.string().startsWith('/').default('/'),
	/** True when a request may run more than once without harm. */
	idempotent: z.boolean(),
	class: z.enum(RequestClass),
	size: z.enum(RequestSize).default(RequestSize.Learned),
	/** Time a caller waits for the whole answer unless the request says less, in ms. */
	deadlineMs: z.int().min(1).max(3_600_000),
});
