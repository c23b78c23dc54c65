import {z} from 'zod';
import {templateParameterSchema} from './template-parameter-schema.js';

/**
Schema of a template: the fields of a service in which any value may be replaced by `{"parameter": "name"}`.
*/
export const templateSchema = z.strictObject({
	name: z.string().regex(/^[a-z][a-z0-9\-]{0,62}$/v),
	description: z.string().default(''),
	parameters: z.record(z.string(), templateParameterSchema),
	/** Fields of the service, checked after the parameters are filled in. */
	service: z.record(z.string(), z.json()),
});
