import {z} from 'zod';

/** Schema of a parameter that a template declares. */
export const templateParameterSchema = z.strictObject({
	description: z.string().min(1).describe('Description of the parameter, with its unit.'),
	type: z.enum(['integer', 'number', 'string', 'boolean', 'list']).describe('Type of the value.'),
	default: z.json().optional().describe('Value used when a team sets none; the parameter is required if there is no default.'),
	minimum: z.number().optional().describe('Minimum, for numbers.'),
	maximum: z.number().optional().describe('Maximum, for numbers.'),
});
