import {SiteName} from '../../site/site-name.js';
import {ArmBench} from '../arms/arm-bench.js';
import {ArmName} from '../arms/arm-name.js';
import {createLatencyPlot} from '../arms/create-latency-plot.js';
import {listServiceWorkloads} from '../arms/list-service-workloads.js';
import type {ServiceWorkload} from '../arms/service-workload.js';
import {workloadParameters} from '../arms/workload-parameters.js';
import {CallOutcome} from '../callers/call-outcome.js';
import type {ExperimentContext} from '../experiment-context.js';
import type {Experiment} from '../experiment.js';
import type {CheckResult} from '../report/check-result.js';
import {createCheck} from '../report/create-check.js';

const defaultSeconds = 6;
const sliceMs = 2000;
const load = 0.65;
const scanShare = 10 * workloadParameters.longShare;
const armNames = [ArmName.LeastOutstanding, ArmName.Rattansill];
const scanServices: Readonly<Record<SiteName, readonly string[]>> = {
	[SiteName.Wigroom]: ['lacefront', 'showvault', 'shadecard'],
	[SiteName.Urdaneta]: ['catalogo', 'archivo', 'vientos'],
};

const createName = (siteName: SiteName, arm: ArmName, hasScans: boolean) => `${siteName} ${arm} ${hasScans ? 'with' : 'without'} scans`;

/** Removes the long requests and keeps the rate of the short ones. */
const removeScans = (workloads: readonly ServiceWorkload[]): readonly ServiceWorkload[] => workloads.map(item => {
	const short = item.kinds.filter(kind => !kind.isLong);
	const shortShare = short.reduce((sum, kind) => sum + kind.share, 0);
	return {...item, kinds: short.map(kind => ({...kind, share: kind.share / shortShare})), capacityPerSecond: item.capacityPerSecond * shortShare};
});

const runSite = async (context: ExperimentContext, siteName: SiteName, bench: ArmBench): Promise<void> => {
	const arms = await bench.startArms(siteName, armNames, {services: scanServices[siteName]});
	const withScans = listServiceWorkloads(arms[0]!.site, scanShare);
	const withoutScans = removeScans(withScans);
	const rounds = Math.max(1, Math.round((context.seconds ?? defaultSeconds) * 1000 / sliceMs));
	for (const arm of arms) {
		await arm.warmUp(withoutScans);
	}

	for (let round = 0; round < rounds; round++) {
		for (const arm of arms) {
			for (const hasScans of [false, true]) {
				await bench.measureSlice(arm, createName(siteName, arm.arm, hasScans), {
					seed: (context.seed * 100) + round, durationMs: sliceMs, workloads: hasScans ? withScans : withoutScans, load,
				});
			}
		}
	}

	for (const arm of arms) {
		arm.site.dispose();
	}
};

const createChecks = (siteName: SiteName, bench: ArmBench): CheckResult[] => {
	const withScans = bench.getSamples(createName(siteName, ArmName.Rattansill, true));
	const withoutScans = bench.getSamples(createName(siteName, ArmName.Rattansill, false));
	const failedScans = withScans.items.filter(({sample, kind}) => kind.isLong && sample.outcome !== CallOutcome.Complete).length;
	return [
		createCheck(`${siteName}: short p99 with scans, to that without`, {atMost: 1.5}, withScans.computeShortPercentile(99) / withoutScans.computeShortPercentile(99)),
		createCheck(`${siteName}: scans without a whole answer in the end`, {atMost: 0}, failedScans),
	];
};

/** Measures head-of-line blocking of short requests behind long ones. */
export const blockingExperiment: Experiment = {
	name: 'blocking',
	description: 'p99 of short requests with long scans at 10 times their usual share, compared with no scans',
	async run(context) {
		const bench = new ArmBench(context);
		const siteNames = context.sites ?? Object.values(SiteName);
		for (const siteName of siteNames) {
			await runSite(context, siteName, bench);
		}

		return {
			arms: bench.results.map(samples => samples.createResult()),
			checks: siteNames.flatMap(siteName => createChecks(siteName, bench)),
			plots: siteNames.map(siteName => createLatencyPlot(
				`${siteName}: short requests with and without scans`,
				armNames.flatMap(arm => [false, true].map(hasScans => bench.getSamples(createName(siteName, arm, hasScans)))),
			)),
			notes: [
				'Only services with scans are run; the rate of short requests is the same in both conditions.',
				`Scans are ${scanShare * 100}% of the requests, and the total demand is ${load * 100}% of the capacity.`,
				'Scans are declared long and deferrable by the templates; every scan must eventually get a complete response.',
			],
		};
	},
};
