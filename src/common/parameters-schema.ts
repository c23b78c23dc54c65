import {z} from 'zod';

/** Schema of the parameters that a team sets for one of its services. */
export const parametersSchema = z.strictObject({
	service: z.string().regex(/^[a-z][a-z0-9\-]{0,62}$/v).describe('Name of the service; callers use it as the Host header.'),
	team: z.string().min(1).max(64).describe('Team that owns the parameters.'),
	template: z.string().min(1).max(64).describe('Name of the template that renders the service.'),
	values: z.record(z.string(), z.json()).describe('Values of the template\'s parameters, by name.'),
});
