import type {z} from 'zod';
import type {instanceSchema} from './instance-schema.js';

/** One entry instance. */
export type Instance = z.infer<typeof instanceSchema>;
