import {z} from 'zod';
import {templateParameterSchema} from './template-parameter-schema.js';

/**
Schema of a template: the fields of a service in which any value may be replaced by `{"parameter": "name"}`.
*/
export const templateSchema = z.strictObject({
	name: z.string().regex(/^[a-z][a-z0-9\-]{0,62}$/v).describe('Name by which parameters refer to the template.'),
	description: z.string().default('').describe('Kind of service for which the template is meant.'),
	parameters: z.record(z.string(), templateParameterSchema).describe('Parameters that teams set, by name.'),
	service: z.record(z.string(), z.json()).describe('Fields of the service, validated after the parameters are substituted.'),
});
