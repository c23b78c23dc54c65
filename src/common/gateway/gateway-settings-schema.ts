import * as z from 'zod/mini';

const nonEmptyString = z.string({error: 'must be a string'}).check(z.minLength(1, 'must not be empty'));
const address = z.string({error: 'must be a string'}).check(z.regex(/^[^\s:]+:\d{1,5}$/v, 'must be an address of the form host:port'));
const positive = z.number({error: 'must be a number'}).check(z.positive('must be above 0'));
const notNegative = z.number({error: 'must be a number'}).check(z.nonnegative('must not be below 0'));
const ratio = z.number({error: 'must be a number'}).check(z.nonnegative('must not be below 0'), z.lte(1, 'must not be above 1'));

/** Validates the settings of a gateway process; unknown fields are ignored. */
export const gatewaySettingsSchema = z.object({
	instance: z.object({id: nonEmptyString, failureDomain: nonEmptyString, region: nonEmptyString}, {error: 'must be an object'}),
	listeners: z.object({
		data: address, readiness: address, peer: address, route: address, metrics: address,
	}, {error: 'must be an object'}),
	failureDomains: z.array(nonEmptyString, {error: 'must be a list'}).check(z.minLength(1, 'must not be empty')),
	seeds: z.array(address, {error: 'must be a list'}),
	isFirstStart: z.boolean({error: 'must be true or false'}),
	registry: address,
	limits: z.object({
		cores: positive,
		memoryBytes: positive,
		descriptors: z.optional(positive),
		stopMs: positive,
		targetChangeMs: positive,
		configurationChangeMs: positive,
		evacuationMs: z.optional(positive),
		retryRatio: notNegative,
		retrySlack: notNegative,
		retryWindowMs: positive,
		probesPerTargetPerSecond: notNegative,
		warmUpOvershoot: z.optional(notNegative),
		warmUpSlack: z.optional(notNegative),
		hedgeRatio: z.optional(ratio),
		clients: z.optional(z.object({memoryBytes: z.optional(positive), connections: z.optional(positive), requestsPerConnection: z.optional(positive)})),
	}, {error: 'must be an object'}),
}, {error: 'must be an object'});
