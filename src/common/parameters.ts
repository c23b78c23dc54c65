import type {z} from 'zod';
import type {parametersSchema} from './parameters-schema.js';

/** One team's parameters for one service. */
export type Parameters = z.infer<typeof parametersSchema>;
