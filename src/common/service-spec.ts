import type {z} from 'zod';
import type {serviceSpecSchema} from './service-spec-schema.js';

/** A rendered service: a template with one team's parameters filled in. */
export type ServiceSpec = z.infer<typeof serviceSpecSchema>;
