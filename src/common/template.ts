import type {z} from 'zod';
import type {templateSchema} from './template-schema.js';

/** Template for a kind of service. */
export type Template = z.infer<typeof templateSchema>;
