import {z} from 'zod';

/** Schema of a target of a service. */
export const targetSpecSchema = z.strictObject({
	id: z.string().min(1).max(128).describe('Name, unique within the service.'),
	host: z.string().min(1).max(255).describe('IP address.'),
	port: z.int().min(1).max(65_535).describe('TCP port.'),
	failureDomain: z.string().min(1).max(128).describe('Failure domain in which the target runs.'),
	leaving: z.boolean().default(false).describe('Whether the operators are taking the target out of service.'),
});
