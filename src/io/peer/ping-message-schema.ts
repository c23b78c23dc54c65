import {z} from 'zod';

/** Schema of a ping and of its response. */
export const pingMessageSchema = z.object({
	id: z.string().min(1).max(128), incarnation: z.number(), sequence: z.number(), members: z.number(), configuration: z.number(),
});
