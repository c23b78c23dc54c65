import type {ServiceSpec} from '../common/service-spec.js';

const formatRule = (rule: ServiceSpec['rules'][number]): string => {
	const methods = rule.methods.length === 0 ? 'any method' : rule.methods.join(' ');
	const idempotency = rule.idempotent ? 'idempotent' : 'not idempotent, at most once';
	return `  rule ${rule.name}: ${methods} ${rule.pathPrefix}*: ${rule.class}, ${rule.size}, ${idempotency}, ${rule.deadlineMs} ms\n`;
};

/** Formats a rendered service as text. */
export const formatService = (service: ServiceSpec): string => {
	const domains = [...new Set(service.targets.map(target => target.failureDomain))];
	return `${service.name} (team ${service.team}, template ${service.template})\n`
		+ `  ${service.targets.length} targets in ${domains.length} failure domains (${domains.join(', ')}), `
		+ `${service.slotsPerTarget} slots, ${service.longSlotsPerTarget} for long requests, ${service.connectionsPerTarget} connections per target\n`
		+ `  ${service.probesPerTargetPerSecond} probes per target and second, retries ${service.retryRatio}, hedges ${service.hedgeRatio} of first attempts\n`
		+ service.rules.map(rule => formatRule(rule)).join('');
};
