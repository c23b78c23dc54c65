import {z} from 'zod';

/** Schema of a stored response as peers send it. */
export const storedResponseSchema = z.strictObject({
	status: z.int().min(200).max(599),
	rawHeaders: z.array(z.string().max(16_384)).max(512).readonly(),
	body: z.base64().max(16_384),
});
