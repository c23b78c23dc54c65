import type {z} from 'zod';
import type {refusalRuleSchema} from './refusal-rule-schema.js';

/** Describes responses by which a target proves that it did not run the request. */
export type RefusalRule = z.infer<typeof refusalRuleSchema>;
