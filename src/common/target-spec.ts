import type {z} from 'zod';
import type {targetSpecSchema} from './target-spec-schema.js';

/** A target of a service. */
export type TargetSpec = z.infer<typeof targetSpecSchema>;
