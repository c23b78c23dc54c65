import {z} from 'zod';
import {instanceSchema} from './instance-schema.js';

/** Schema of the platform's instance list. */
export const instanceListSchema = z.strictObject({
	/** Upper bound of entry instances that run at the same time, replacements that overlap included. */
	maxInstances: z.int().min(1).max(65_536),
	instances: z.array(instanceSchema).max(65_536),
});
