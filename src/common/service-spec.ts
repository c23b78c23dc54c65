import type {z} from 'zod';
import type {serviceSpecSchema} from './service-spec-schema.js';

/** A rendered service: a template with the parameters of a team substituted. */
export type ServiceSpec = z.infer<typeof serviceSpecSchema>;
