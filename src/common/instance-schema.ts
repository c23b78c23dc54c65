import {z} from 'zod';

/** Schema of one entry instance as the platform's instance list publishes it. */
export const instanceSchema = z.strictObject({
	/** Name, unique within the fleet; a replacement may reuse it. */
	id: z.string().min(1).max(128),
	/** IP number. */
	host: z.string().min(1).max(255),
	/** Port for callers' requests. */
	dataPort: z.int().min(1).max(65_535),
	/** Port that answers which addresses to use. */
	routePort: z.int().min(1).max(65_535),
	/** Port for other entry instances. */
	peerPort: z.int().min(1).max(65_535),
	/** Port for operators. */
	operatorPort: z.int().min(1).max(65_535),
	failureDomain: z.string().min(1).max(128),
	region: z.string().min(1).max(128).default('default'),
	/** True once the platform is taking the instance away. */
	leaving: z.boolean().default(false),
});
