import {z} from 'zod';
import {RequestClass} from './request-class.js';
import {RequestSize} from './request-size.js';

/** Schema of one rule that classifies requests; the first rule that matches applies. */
export const requestRuleSchema = z.strictObject({
	name: z.string().min(1).max(64).describe('Name for logs and metrics, unique within the service.'),
	methods: z.array(z.string().regex(/^[A-Z]+$/v)).default([]).describe('HTTP methods that match; empty means any.'),
	pathPrefix: z.string().startsWith('/').default('/').describe('Path prefix that matches, written decoded.'),
	idempotent: z.boolean().describe('True when a request may run more than once without harm.'),
	class: z.enum(RequestClass).describe('Class of the request; deferrable requests may wait.'),
	size: z.enum(RequestSize).default(RequestSize.Learned).describe('Expected size; `learned` follows the rule\'s history.'),
	deadlineMs: z.int().min(1).max(3_600_000).describe('Time a caller waits for the whole answer unless the request says less, in ms.'),
});
