import {z} from 'zod';
import {refusalRuleSchema} from './refusal-rule-schema.js';
import {requestRuleSchema} from './request-rule-schema.js';
import {targetSpecSchema} from './target-spec-schema.js';

const findDuplicate = (names: readonly string[]) => names.find((name, index) => names.indexOf(name) !== index);

/** Schema of a rendered service: a template with one team's parameters filled in. */
export const serviceSpecSchema = z.strictObject({
	name: z.string().regex(/^[a-z][a-z0-9\-]{0,62}$/v).describe('Name by which callers address the service (the Host header).'),
	team: z.string().min(1).max(64).describe('Team that owns the parameters.'),
	template: z.string().min(1).max(64).describe('Name of the template.'),
	targets: z.array(targetSpecSchema).max(4096).describe('Targets of the service.'),
	rules: z.array(requestRuleSchema).min(1).max(256).describe('Rules that classify requests; the first that matches applies, and one that is not idempotent where a path can be read in two ways.'),
	slotsPerTarget: z.int().min(1).max(4096).describe('Requests that one target runs at the same time.'),
	connectionsPerTarget: z.int().min(1).max(65_536).describe('Connections that all entry instances together may hold to one target.'),
	longSlotsPerTarget: z.int().min(1).max(4096).describe('Long requests that may run at one target at the same time; less than its slots keeps room for short ones.'),
	probesPerTargetPerSecond: z.number().min(0).max(1000).describe('Measuring requests that all entry instances together may send to one target, a second.'),
	loadPath: z.string().startsWith('/').default('/load').describe('Path that a target answers with its load report.'),
	retryRatio: z.number().min(0).max(1).describe('Retries allowed as a share of first tries.'),
	hedgeRatio: z.number().min(0).max(1).describe('Hedged requests allowed as a share of first tries.'),
	hedgeAfterMs: z.int().min(1).max(60_000).describe('Time after which a short idempotent request is hedged, in ms.'),
	notRunRefusals: z.array(refusalRuleSchema).max(32).default([]).describe('Answers that prove that the target did not run the request.'),
	drainHeader: z.string().regex(/^[a-z0-9\-]+$/v).default('x-draining').describe('Response header, in lower case, by which a target says that it is draining.'),
	keyMemoryMs: z.int().min(1000).max(86_400_000).default(600_000).describe('Time for which the outcome of an idempotency key is remembered, in ms.'),
	queueRequests: z.int().min(1).max(1_000_000).default(10_000).describe('Waiting requests that one entry holds for the service.'),
	queueBytes: z.int().min(1).max(1_073_741_824).default(16_777_216).describe('Bytes of waiting requests that one entry holds for the service.'),
	warmUpMs: z.int().min(0).max(3_600_000).default(5000).describe('Time over which a new target is brought to full use, in ms.'),
	tls: z.boolean().default(false).describe('Whether the connections to the targets use TLS.'),
}).superRefine((spec, context) => {
	const target = findDuplicate(spec.targets.map(item => item.id));
	if (target !== undefined) {
		context.addIssue({
			code: 'custom', path: ['targets'], input: target, message: `two targets are named "${target}"; names must be unique`,
		});
	}

	const rule = findDuplicate(spec.rules.map(item => item.name));
	if (rule !== undefined) {
		context.addIssue({
			code: 'custom', path: ['rules'], input: rule, message: `two rules are named "${rule}"; names must be unique`,
		});
	}

	if (spec.longSlotsPerTarget > spec.slotsPerTarget) {
		context.addIssue({
			code: 'custom', path: ['longSlotsPerTarget'], input: spec.longSlotsPerTarget, message: `must be at most slotsPerTarget (${spec.slotsPerTarget})`,
		});
	}
});
