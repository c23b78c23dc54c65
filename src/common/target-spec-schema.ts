import {z} from 'zod';

/** Schema of one target of a service. */
export const targetSpecSchema = z.strictObject({
	/** Name, unique within the service. */
	id: z.string().min(1).max(128),
	/** IP number. */
	host: z.string().min(1).max(255),
	/** TCP port. */
	port: z.int().min(1).max(65_535),
	/** Failure domain in which the target runs. */
	failureDomain: z.string().min(1).max(128),
	/** True once the operators take the target out of service. */
	leaving: z.boolean().default(false),
});
