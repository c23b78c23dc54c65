import type {z} from 'zod';
import type {instanceListSchema} from './instance-list-schema.js';

/** Instance list of the platform; it lags behind the actual state of the fleet. */
export type InstanceList = z.infer<typeof instanceListSchema>;
