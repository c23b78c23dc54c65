import {z} from 'zod';
import {RequestClass} from './request-class.js';
import {RequestSize} from './request-size.js';

/** Schema of a rule that classifies requests; the first matching rule applies. */
export const requestRuleSchema = z.strictObject({
	name: z.string().min(1).max(64).describe('Name for logs and metrics, unique within the service.'),
	methods: z.array(z.string().regex(/^[A-Z]+$/v)).default([]).describe('HTTP methods that match; any method when empty.'),
	pathPrefix: z.string().startsWith('/').default('/').describe('Path prefix that matches, percent-decoded.'),
	idempotent: z.boolean().describe('Whether a request may safely run more than once.'),
	class: z.enum(RequestClass).describe('Priority class of the request; deferrable requests may wait.'),
	size: z.enum(RequestSize).default(RequestSize.Learned).describe('Expected size; `learned` derives it from past requests of the rule.'),
	deadlineMs: z.int().min(1).max(3_600_000).describe('Time within which the complete response must arrive, unless the request asks for less, in ms.'),
});
