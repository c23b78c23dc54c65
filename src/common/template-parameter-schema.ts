import {z} from 'zod';

/** Schema of one parameter that a template declares. */
export const templateParameterSchema = z.strictObject({
	description: z.string().min(1),
	type: z.enum(['integer', 'number', 'string', 'boolean', 'list']),
	/** Value used where a team gives none; without it the parameter is required. */
	default: z.json().optional(),
	minimum: z.number().optional(),
	maximum: z.number().optional(),
});
