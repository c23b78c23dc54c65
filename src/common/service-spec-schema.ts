import {z} from 'zod';
import {refusalRuleSchema} from './refusal-rule-schema.js';
import {requestRuleSchema} from './request-rule-schema.js';
import {targetSpecSchema} from './target-spec-schema.js';

const findDuplicate = (names: readonly string[]) => names.find((name, index) => names.indexOf(name) !== index);

/** Schema of a rendered service: a template with one team's parameters filled in. */
export const serviceSpecSchema = z.strictObject({
	/** Name by which callers address the service (the Host header). */
	name: z.string().regex(/^[a-z][a-z0-9\-]{0,62}$/v),
	/** Team that owns the parameters. */
	team: z.string().min(1).max(64),
	/** Name of the template. */
	template: z.string().min(1).max(64),
	targets: z.array(targetSpecSchema).max(4096),
	rules: z.array(requestRuleSchema).min(1).max(256),
	/** Requests that one target runs at the same time. */
	slotsPerTarget: z.int().min(1).max(4096),
	/** Connections that all entry instances together may hold to one target. */
	connectionsPerTarget: z.int().min(1).max(65_536),
	/** Long requests that may run at one target at the same time; less than its slots keeps room for short ones. */
	longSlotsPerTarget: z.int().min(1).max(4096),
	/** Measuring requests that all entry instances together may send to one target, a second. */
	probesPerTargetPerSecond: z.number().min(0).max(1000),
	/** Path that a target answers with its load report. */
	loadPath: z.string().startsWith('/').default('/load'),
	/** Retries allowed as a share of first tries. */
	retryRatio: z.number().min(0).max(1),
	/** Hedged requests allowed as a share of first tries. */
	hedgeRatio: z.number().min(0).max(1),
	/** Time after which a short idempotent request is hedged, in ms. */
	hedgeAfterMs: z.int().min(1).max(60_000),
	/** Answers that prove that the target did not run the request. */
	notRunRefusals: z.array(refusalRuleSchema).max(32).default([]),
	/** Response header, in lower case, by which a target says that it is draining. */
	drainHeader: z.string().regex(/^[a-z0-9\-]+$/v).default('x-draining'),
	/** Time for which the outcome of an idempotency key is remembered, in ms. */
	keyMemoryMs: z.int().min(1000).max(86_400_000).default(600_000),
	/** Waiting requests that one entry holds for the service. */
	queueRequests: z.int().min(1).max(1_000_000).default(10_000),
	/** Bytes of waiting requests that one entry holds for the service. */
	queueBytes: z.int().min(1).max(1_073_741_824).default(16_777_216),
	/** Time over which a new target is brought to full use, in ms. */
	warmUpMs: z.int().min(0).max(3_600_000).default(5000),
	/** Whether the connections to the targets use TLS. */
	tls: z.boolean().default(false),
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
