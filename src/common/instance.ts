import type {z} from 'zod';
import type {instanceSchema} from './instance-schema.js';

/** An entry instance with its addresses. */
export type Instance = z.infer<typeof instanceSchema>;
