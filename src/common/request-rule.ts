import type {z} from 'zod';
import type {requestRuleSchema} from './request-rule-schema.js';

/** A rule that classifies requests. */
export type RequestRule = z.infer<typeof requestRuleSchema>;
