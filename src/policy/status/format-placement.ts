import {ExclusionReason} from '../../common/gateway/exclusion-reason.js';
import type {ExplainedRefusal} from '../../common/gateway/explained-refusal.js';
import type {PlacementExplanation} from '../../common/gateway/placement-explanation.js';
import {PlacementStep} from '../../common/gateway/placement-step.js';
import type {ServiceExplanation} from '../../common/gateway/service-explanation.js';
import type {TargetExplanation} from '../../common/gateway/target-explanation.js';

const exclusionTexts: Readonly<Record<ExclusionReason, string>> = {
	[ExclusionReason.Leaving]: 'leaving',
	[ExclusionReason.Evacuated]: 'evacuated',
	[ExclusionReason.ColdWithoutPermit]: 'cold without a permit',
	[ExclusionReason.Paused]: 'paused',
	[ExclusionReason.Ejected]: 'ejected',
	[ExclusionReason.Unhealthy]: 'unhealthy',
	[ExclusionReason.Full]: 'full',
	[ExclusionReason.Slowed]: 'slowed',
	[ExclusionReason.ProbeLimit]: 'behind the targets that would be probed',
};

const formatMs = (ms: number): string => `${Math.round(ms)} ms`;
const formatCount = (count: number, noun: string): string => `${count} ${noun}${count === 1 ? '' : 's'}`;

const formatRefusal = ({status, kind, detail, retryAfterMs}: ExplainedRefusal): string => {
	const retry = retryAfterMs === undefined ? '' : `; retry after ${formatMs(retryAfterMs)} or more`;
	return `refused with ${status} ${kind}: ${detail}${retry}`;
};

const formatStep = ({step, target, refusal, isCompeting}: ServiceExplanation): string => {
	switch (step) {
		case PlacementStep.Refuse: {
			return refusal === undefined ? 'refused' : formatRefusal(refusal);
		}

		case PlacementStep.Send: {
			return `sent to ${target ?? ''}`;
		}

		case PlacementStep.Probe: {
			return 'targets are probed first, which can change the order below';
		}

		case PlacementStep.Wait: {
			return isCompeting ? 'queued, since no target is known that serves it in time' : 'queued, leaving free slots to more urgent requests for now';
		}
	}
};

const formatTarget = (target: TargetExplanation, index: number): string => {
	const parts = [
		target.estimateMs === undefined ? 'needs a probe' : `expected to take ${formatMs(target.estimateMs)}${target.isIdle ? ', idle' : ''}`,
		`${formatCount(target.freeSlots, 'free slot')}${target.reportAgeMs === undefined ? ', no report' : `, reported ${formatMs(target.reportAgeMs)} ago`}`,
		...target.slowdown === undefined ? [] : [`slowdown ${target.slowdown.toFixed(2)}`],
		`duration ratio ${target.durationRatio.toFixed(2)}`,
		`failure rate ${target.failureRate.toFixed(2)}`,
		target.hasIdleConnection ? 'idle connection' : 'no idle connection',
		...target.isCold ? ['cold'] : [],
	];
	return `    ${index + 1}. ${target.id} in ${target.failureDomain}${target.isLocal ? ' (local)' : ''}: ${parts.join('; ')}`;
};

const formatService = (explanation: ServiceExplanation): string[] => {
	const {service, share, scarcityLevel, waitingCount, expectedWaitMs, usualMs, canProbeChange, targetCount, candidateCount, targets, exclusions} = explanation;
	const excluded = Object.entries(exclusions).map(([reason, count]) => `${count} ${exclusionTexts[reason as ExclusionReason] ?? reason}`);
	const wait = expectedWaitMs === undefined ? 'unknown' : formatMs(expectedWaitMs);
	return [
		`service ${service}, ${(share * 100).toFixed(1)} % of the route: ${formatStep(explanation)}`,
		`  scarcity level ${scarcityLevel}; ${formatCount(waitingCount, 'request')} waiting; expected wait ${wait}; usual duration ${formatMs(usualMs)}`,
		`  a probe ${canProbeChange ? 'can' : 'cannot'} change the result`,
		`  ${candidateCount} of ${formatCount(targetCount, 'target')} can be chosen${candidateCount > 0 ? ', in this order' : ''}`,
		...targets.map((target, index) => formatTarget(target, index)),
		...candidateCount > targets.length ? [`    and ${candidateCount - targets.length} more`] : [],
		`  excluded: ${excluded.length === 0 ? 'none' : excluded.join(', ')}`,
	];
};

/** Formats the explanation of a placement for people. */
export const formatPlacement = ({instance, request, configuration, targetsAgeMs, route, refusal, services}: PlacementExplanation): string => [
	`${request.method} ${request.host}${request.path} with ${request.bodyBytes} bytes at ${instance.id} in ${instance.failureDomain}`,
	`configuration ${configuration.version}, confirmed ${formatMs(configuration.ageMs)} ago; targets confirmed ${formatMs(targetsAgeMs)} ago`,
	`route ${route.name} for ${route.host}${route.pathPrefix}: objective ${formatMs(route.objectiveMs)}, timeout ${formatMs(route.timeoutMs)}, priority ${route.priority}`,
	...refusal === undefined ? [] : [`before a target is looked for: ${formatRefusal(refusal)}`],
	...services.flatMap(service => formatService(service)),
].map(line => `${line}\n`).join('');
