import {RequestClass} from '../../../src/common/request-class.js';
import {SiteName} from '../../site/site-name.js';
import {ArmBench} from '../arms/arm-bench.js';
import {ArmName} from '../arms/arm-name.js';
import type {ArmSamples} from '../arms/arm-samples.js';
import {createLatencyPlot} from '../arms/create-latency-plot.js';
import {listServiceWorkloads} from '../arms/list-service-workloads.js';
import type {ServiceWorkload} from '../arms/service-workload.js';
import {siteDelays} from '../arms/site-delays.js';
import {workloadParameters} from '../arms/workload-parameters.js';
import {CallOutcome} from '../callers/call-outcome.js';
import {computeMeanServiceMs} from '../callers/compute-mean-service-ms.js';
import type {ExperimentContext} from '../experiment-context.js';
import type {Experiment} from '../experiment.js';
import {LatencyHistogram} from '../measure/latency-histogram.js';
import type {CheckResult} from '../report/check-result.js';
import {createCheck} from '../report/create-check.js';

const defaultSeconds = 10;
const crestEveryMs = 10_000;
const crestMs = 2000;
const crestLoad = 1.5;
const baseLoad = 0.5;
const recoveryMs = 1000;
const armNames = [ArmName.LeastOutstanding, ArmName.Rattansill];
const meanSpeedFactor = 1 - workloadParameters.slowShare + (workloadParameters.slowShare / workloadParameters.slowFactor);

const createName = (siteName: SiteName, arm: ArmName) => `${siteName} ${arm} crest`;
const isUrgent = (requestClass: RequestClass) => requestClass !== RequestClass.Deferrable;
const isInCrest = (atMs: number) => atMs % crestEveryMs >= crestMs / 2 && atMs % crestEveryMs < crestMs * 1.5;

/** Returns whether a time is outside the crests and the recovery time after each. */
const isOutsideCrests = (atMs: number) => {
	const phaseMs = atMs % crestEveryMs;
	return phaseMs < crestMs / 2 || phaseMs >= (crestMs * 1.5) + recoveryMs;
};

/** Computes the non-deferrable responses that ended within their deadline during the crests, as a fraction of the arrived requests that the slots can serve. */
const computeServedShare = (samples: ArmSamples, workloads: readonly ServiceWorkload[], crestCount: number): number => {
	const urgent = samples.items.filter(({kind}) => isUrgent(kind.requestClass));
	const served = urgent.filter(({sample, kind}) => sample.outcome === CallOutcome.Complete && sample.latencyMs <= kind.deadlineMs && isInCrest(sample.atMs + sample.latencyMs));
	let servable = 0;
	for (const {service, slots, kinds} of workloads) {
		const urgentKinds = kinds.filter(kind => isUrgent(kind.requestClass));
		const share = urgentKinds.reduce((sum, kind) => sum + kind.share, 0);
		const meanMs = computeMeanServiceMs(urgentKinds) / share;
		const arrived = urgent.filter(({sample}) => sample.service === service && isInCrest(sample.atMs)).length;
		servable += urgentKinds.length === 0 ? 0 : Math.min(arrived, crestCount * crestMs * slots * meanSpeedFactor / meanMs);
	}

	return served.length / servable;
};

const createChecks = (siteName: SiteName, samples: ArmSamples, workloads: readonly ServiceWorkload[], crestCount: number): CheckResult[] => {
	const refused = samples.items.filter(({sample}) => sample.outcome === CallOutcome.NotRun);
	const refusalsOutsideCrests = refused.filter(({sample}) => isOutsideCrests(sample.atMs)).length;
	const failedDeferrable = samples.items.filter(({sample, kind}) => !isUrgent(kind.requestClass) && sample.outcome !== CallOutcome.Complete).length;
	// The bound applies to the time at the instance, without the network delay to the caller and back.
	const refusalP99 = new LatencyHistogram(refused.map(({sample}) => sample.latencyMs - (2 * siteDelays[siteName].callerMs))).getPercentile(99);
	return [
		createCheck(`${siteName}: interactive and booking answers in time at the crest, to what the slots carry`, {atLeast: 0.95}, computeServedShare(samples, workloads, crestCount)),
		createCheck(`${siteName}: deferrable requests without a whole answer in the end`, {atMost: 0}, failedDeferrable),
		createCheck(`${siteName}: refusals outside the crests and the second after them`, {atMost: 0}, refusalsOutsideCrests),
		createCheck(`${siteName}: p99 of the time to a refusal (${refused.length} refusals)`, {atMost: 10, unit: 'ms'}, refusalP99),
	];
};

const runSite = async (context: ExperimentContext, siteName: SiteName, bench: ArmBench): Promise<CheckResult[]> => {
	const arms = await bench.startArms(siteName, armNames);
	const workloads = listServiceWorkloads(arms[0]!.site, workloadParameters.longShare);
	const crestCount = Math.max(1, Math.round((context.seconds ?? defaultSeconds) * 1000 / crestEveryMs));
	for (const arm of arms) {
		await arm.warmUp(workloads);
		await bench.measureSlice(arm, createName(siteName, arm.arm), {
			seed: context.seed, durationMs: crestCount * crestEveryMs, workloads, load: baseLoad, swing: 0, crestFactor: crestLoad / baseLoad, crestEveryMs, crestMs,
		});
	}

	for (const arm of arms) {
		arm.site.dispose();
	}

	return createChecks(siteName, bench.getSamples(createName(siteName, ArmName.Rattansill)), workloads, crestCount);
};

/** Measures service, deferral and refusals while demand exceeds capacity. */
export const crestExperiment: Experiment = {
	name: 'crest',
	description: 'Responses in time, deferred requests and refusals with demand at 1.5 times the capacity for 2 s of every 10',
	async run(context) {
		const bench = new ArmBench(context);
		const siteNames = context.sites ?? Object.values(SiteName);
		const checks: CheckResult[] = [];
		for (const siteName of siteNames) {
			checks.push(...await runSite(context, siteName, bench));
		}

		return {
			arms: bench.results.map(samples => samples.createResult()),
			checks,
			plots: siteNames.map(siteName => createLatencyPlot(`${siteName}: short requests over the crests`, armNames.map(arm => bench.getSamples(createName(siteName, arm))))),
			notes: [
				`Demand is ${baseLoad * 100}% of the capacity and ${crestLoad * 100}% at the crests.`,
				'The number of interactive and booking requests that the slots can carry in the crests is the lesser of those that arrive and of the slot time divided by their mean service time.',
			],
		};
	},
};
