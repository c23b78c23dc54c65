import {z} from 'zod';
import {templateParameterSchema} from './template-parameter-schema.js';

/**
Schema of a template: the fields of a service in which any value may be replaced by `{"parameter": "name"}`.
*/
export const templateSchema = z.strictObject({
	name: z.string().regex(/^[a-z][a-z0-9\-]{0,62}$/v).describe('Name that parameters refer to.'),
	description: z.string().default('').describe('What kind of service it is for.'),
	parameters: z.record(z.string(), templateParameterSchema).describe('Parameters that teams fill in, by name.'),
	service: z.record(z.string(), z.json()).describe('Fields of the service, checked after the parameters are filled in.'),
});
