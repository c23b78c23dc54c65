import * as z from 'zod/mini';
import {parseIpAddress} from './parse-ip-address.js';

/** An id is sent in headers, so it may only have visible ASCII characters. */
const idPattern = /^[!-~]{1,200}$/v;
/** Upper limits above which a record was not written by a target. */
const maxSlots = 10_000;
const maxWarmUpMs = 24 * 3_600_000;
const maxPort = 65_535;

/** Validates a target, whether it was read from the registry or received from a peer; unknown fields are ignored. */
export const gatewayTargetSchema = z.object({
	id: z.string().check(z.regex(idPattern, 'must have 1 to 200 visible ASCII characters')),
	revision: z.int().check(z.nonnegative()),
	service: z.string().check(z.minLength(1)),
	host: z.string().check(z.refine(host => parseIpAddress(`${host}:${maxPort}`).isOk(), 'must be an IP address')),
	port: z.int().check(z.positive(), z.maximum(maxPort)),
	failureDomain: z.string(),
	slots: z.int().check(z.positive(), z.maximum(maxSlots)),
	isLeaving: z.boolean(),
	warmUpLeftMs: z.number().check(z.nonnegative(), z.maximum(maxWarmUpMs)),
	startedAt: z.int(),
});
