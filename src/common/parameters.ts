import type {z} from 'zod';
import type {parametersSchema} from './parameters-schema.js';

/** Parameters that a team sets for one of its services. */
export type Parameters = z.infer<typeof parametersSchema>;
