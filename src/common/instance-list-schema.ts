import {z} from 'zod';
import {instanceSchema} from './instance-schema.js';

/** Schema of the instance list that the platform publishes. */
export const instanceListSchema = z.strictObject({
	/** Maximum number of entry instances that run at the same time, including overlapping replacements. */
	maxInstances: z.int().min(1).max(65_536),
	instances: z.array(instanceSchema).max(65_536),
});
