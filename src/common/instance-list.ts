import type {z} from 'zod';
import type {instanceListSchema} from './instance-list-schema.js';

/** The platform's instance list; it lags behind the fleet. */
export type InstanceList = z.infer<typeof instanceListSchema>;
