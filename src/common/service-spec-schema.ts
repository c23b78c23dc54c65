import {z} from 'zod';
import {refusalRuleSchema} from './refusal-rule-schema.js';
import {requestRuleSchema} from './request-rule-schema.js';
import {targetSpecSchema} from './target-spec-schema.js';

const findDuplicate = (names: readonly string[]) => names.find((name, index) => names.indexOf(name) !== index);

/** Schema of a rendered service: a template with the parameters of a team substituted. */
export const serviceSpecSchema = z.strictObject({
	name: z.string().regex(/^[a-z][a-z0-9\-]{0,62}$/v).describe('Name by which callers address the service (in the Host header).'),
	team: z.string().min(1).max(64).describe('Team that owns the parameters.'),
	template: z.string().min(1).max(64).describe('Name of the template.'),
	targets: z.array(targetSpecSchema).max(4096).describe('Targets of the service.'),
	rules: z.array(requestRuleSchema).min(1).max(256).describe('Rules that classify requests; the first match applies, but a non-idempotent one if a path is ambiguous.'),
	slotsPerTarget: z.int().min(1).max(4096).describe('Requests that one target runs concurrently.'),
	connectionsPerTarget: z.int().min(1).max(65_536).describe('Connections to one target that all entry instances together may hold.'),
	longSlotsPerTarget: z.int().min(1).max(4096).describe('Long requests that may run concurrently at one target; a value below its slots reserves slots for short requests.'),
	probesPerTargetPerSecond: z.number().min(0).max(1000).describe('Probes per second that all entry instances together may send to one target.'),
	loadPath: z.string().startsWith('/').default('/load').describe('Path at which a target serves its load report.'),
	retryRatio: z.number().min(0).max(1).describe('Maximum ratio of retries to first attempts.'),
	hedgeRatio: z.number().min(0).max(1).describe('Maximum ratio of hedged requests to first attempts.'),
	hedgeAfterMs: z.int().min(1).max(60_000).describe('Time after which a short idempotent request is hedged, in ms.'),
	notRunRefusals: z.array(refusalRuleSchema).max(32).default([]).describe('Responses that prove that the target did not run the request.'),
	drainHeader: z.string().regex(/^[a-z0-9\-]+$/v).default('x-draining').describe('Response header, in lower case, by which a target signals that it is draining.'),
	keyMemoryMs: z.int().min(1000).max(86_400_000).default(600_000).describe('Retention period of the outcome of an idempotency key, in ms.'),
	queueRequests: z.int().min(1).max(1_000_000).default(10_000).describe('Maximum number of requests that one entry queues for the service.'),
	queueBytes: z.int().min(1).max(1_073_741_824).default(16_777_216).describe('Maximum bytes of the requests that one entry queues for the service.'),
	warmUpMs: z.int().min(0).max(3_600_000).default(5000).describe('Time over which the load of a new target is ramped up (slow start), in ms.'),
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
