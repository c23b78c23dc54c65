import {z} from 'zod';

/** Schema of a route response for callers; ignores unknown fields, which later versions may add. */
export const routeResponseSchema = z.object({
	service: z.string(),
	addresses: z.array(z.object({
		instanceId: z.string(), host: z.string(), port: z.int().min(1).max(65_535), failureDomain: z.string(),
	})).min(1),
	lifetimeMs: z.number().min(0),
	version: z.string(),
	stale: z.boolean(),
	leaving: z.boolean(),
});
