import {z} from 'zod';

/** Schema of one team's parameters for one service. */
export const parametersSchema = z.strictObject({
	/** Name of the service; callers use it as the Host header. */
	service: z.string().regex(/^[a-z][a-z0-9\-]{0,62}$/v),
	team: z.string().min(1).max(64),
	/** Name of the template to fill in. */
	template: z.string().min(1).max(64),
	values: z.record(z.string(), z.json()),
});
