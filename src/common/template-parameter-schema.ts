import {z} from 'zod';

/** Schema of one parameter that a template declares. */
export const templateParameterSchema = z.strictObject({
	description: z.string().min(1).describe('What the parameter sets, with its unit.'),
	type: z.enum(['integer', 'number', 'string', 'boolean', 'list']).describe('Type of the value.'),
	default: z.json().optional().describe('Value used where a team gives none; without it the parameter is required.'),
	minimum: z.number().optional().describe('Smallest number allowed.'),
	maximum: z.number().optional().describe('Largest number allowed.'),
});
