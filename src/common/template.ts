import type {z} from 'zod';
import type {templateSchema} from './template-schema.js';

/** One template a kind of service. */
export type Template = z.infer<typeof templateSchema>;
