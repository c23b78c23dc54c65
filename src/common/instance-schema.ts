import {z} from 'zod';

/** Schema of an entry instance in the platform's instance list. */
export const instanceSchema = z.strictObject({
	/** Name, unique within the fleet; a replacement may reuse it. */
	id: z.string().min(1).max(128),
	/** IP address. */
	host: z.string().min(1).max(255),
	/** Port for requests of callers. */
	dataPort: z.int().min(1).max(65_535),
	/** Port for route requests: which addresses serve a service. */
	routePort: z.int().min(1).max(65_535),
	/** Port for other entry instances. */
	peerPort: z.int().min(1).max(65_535),
	/** Port for operators. */
	operatorPort: z.int().min(1).max(65_535),
	failureDomain: z.string().min(1).max(128),
	region: z.string().min(1).max(128).default('default'),
	/** True once the platform is removing the instance. */
	leaving: z.boolean().default(false),
});
