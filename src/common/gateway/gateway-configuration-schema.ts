import * as z from 'zod/mini';

/** Longest time that a timer of Node.js can wait, in ms. */
const maxTimerMs = 2_147_483_647;
const pathPrefixPattern = /^\/(?:.*\/)?$/v;
/** A path that can be sent in a request line. */
const healthPathPattern = /^\/[!-~]*$/v;

const time = z.number().check(z.positive(), z.maximum(maxTimerMs));
const share = z.object({service: z.string(), weight: z.number().check(z.nonnegative())});

const route = z.object({
	name: z.string(),
	host: z.string().check(z.lowercase()),
	pathPrefix: z.string().check(z.regex(pathPrefixPattern)),
	shares: z.array(share).check(z.minLength(1)),
	isIdempotent: z.boolean(),
	timeoutMs: time,
	objectiveMs: time,
	priority: z.int(),
	maxAttempts: z.int().check(z.positive()),
});

const service = z.object({
	name: z.string(),
	healthPath: z.string().check(z.regex(healthPathPattern)),
	connectionsPerTarget: z.int().check(z.positive()),
	warmUpPerSecond: z.optional(z.number().check(z.nonnegative())),
	warmUpMs: z.optional(z.number().check(z.nonnegative(), z.maximum(maxTimerMs))),
});

/** Validates a configuration, whether it was read from the registry or received from a peer; unknown fields are ignored. */
export const gatewayConfigurationSchema = z.object({
	version: z.int().check(z.nonnegative()),
	routes: z.array(route),
	services: z.array(service),
	limits: z.object({
		headerBytes: z.int().check(z.positive()),
		bodyBytes: z.int().check(z.nonnegative()),
		headersTimeoutMs: time,
		idleTimeoutMs: time,
	}),
}).check(({value, issues}) => {
	const serviceNames = new Set(value.services.map(({name}) => name));
	const unknownShare = value.routes.flatMap(({shares}) => shares).find(share => !serviceNames.has(share.service));
	if (unknownShare !== undefined) {
		issues.push({
			code: 'custom', path: ['routes'], input: value.routes, message: `service "${unknownShare.service}" is not defined in "services"`,
		});
	}
});
