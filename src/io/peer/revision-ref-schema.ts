import {z} from 'zod';

/** Schema of a reference to a revision as peers send it. */
export const revisionRefSchema = z.object({
	key: z.string().min(1).max(512), revision: z.number().min(0), digest: z.string().max(64), length: z.int().min(0).optional(),
});
