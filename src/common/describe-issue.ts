import type * as z from 'zod/mini';

/** Describes the first validation issue: the path of the invalid field and what is wrong with it. */
export const describeIssue = (error: z.core.$ZodError): string => {
	const [issue] = error.issues;
	const field = issue === undefined || issue.path.length === 0 ? 'the value' : `field "${issue.path.join('.')}"`;
	return `${field}: ${issue?.message ?? 'invalid'}`;
};
