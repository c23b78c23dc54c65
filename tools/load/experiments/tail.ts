import {SiteName} from '../../site/site-name.js';
import {ArmName} from '../arms/arm-name.js';
import {ArmBench} from '../arms/arm-bench.js';
import {createLatencyPlot} from '../arms/create-latency-plot.js';
import {listServiceWorkloads} from '../arms/list-service-workloads.js';
import {workloadParameters} from '../arms/workload-parameters.js';
import type {ExperimentContext} from '../experiment-context.js';
import type {Experiment} from '../experiment.js';
import type {CheckResult} from '../report/check-result.js';
import {createCheck} from '../report/create-check.js';

const defaultSeconds = 4;
const sliceMs = 2000;
const checkedLoad = 0.8;
const baselines = [ArmName.RoundRobin, ArmName.LeastOutstanding, ArmName.ProbePool];
const armNames = [...baselines, ArmName.Rattansill, ArmName.Floor];
/** Loads and the fraction of the duration that each runs for; only `checkedLoad` is checked. */
const loads = [{load: 0.65, timeShare: 0.5}, {load: checkedLoad, timeShare: 1}];

const createName = (siteName: SiteName, arm: ArmName, load: number) => `${siteName} ${arm} ${load * 100}%`;

const runSite = async (context: ExperimentContext, siteName: SiteName, bench: ArmBench): Promise<void> => {
	const arms = await bench.startArms(siteName, armNames);
	const workloads = listServiceWorkloads(arms[0]!.site, workloadParameters.longShare);
	for (const arm of arms) {
		await arm.warmUp(workloads);
	}

	for (const {load, timeShare} of loads) {
		const rounds = Math.max(1, Math.round((context.seconds ?? defaultSeconds) * 1000 * timeShare / sliceMs));
		for (let round = 0; round < rounds; round++) {
			for (const arm of arms) {
				await bench.measureSlice(arm, createName(siteName, arm.arm, load), {
					seed: (context.seed * 100) + round, durationMs: sliceMs, workloads, load,
				});
			}
		}
	}

	for (const arm of arms) {
		arm.site.dispose();
	}
};

const createChecks = (siteName: SiteName, bench: ArmBench): CheckResult[] => {
	const getP99 = (arm: ArmName) => bench.getSamples(createName(siteName, arm, checkedLoad)).computeShortPercentile(99);
	const bestBaselineP99 = Math.min(...baselines.map(arm => getP99(arm)));
	return [
		createCheck(`${siteName}: short p99 at 80%, to the best baseline`, {atMost: 0.5}, getP99(ArmName.Rattansill) / bestBaselineP99),
		createCheck(`${siteName}: short p99 at 80%, to the floor`, {atMost: 1.4}, getP99(ArmName.Rattansill) / getP99(ArmName.Floor)),
	];
};

/** Compares the tail latency of short requests between load balancing policies. */
export const tailExperiment: Experiment = {
	name: 'tail',
	description: 'p99 of short requests at 65% and 80% of the capacity: baselines, rattansill, and one instance with exact counts',
	async run(context) {
		const bench = new ArmBench(context);
		const siteNames = context.sites ?? Object.values(SiteName);
		for (const siteName of siteNames) {
			await runSite(context, siteName, bench);
		}

		return {
			arms: bench.results.map(samples => samples.createResult()),
			checks: siteNames.flatMap(siteName => createChecks(siteName, bench)),
			plots: siteNames.flatMap(siteName => loads.map(({load}) => createLatencyPlot(
				`${siteName}: short requests at ${load * 100}%`,
				armNames.map(arm => bench.getSamples(createName(siteName, arm, load))),
			))),
			notes: [
				`Service times: log-normal with a median of ${workloadParameters.medianMs} ms and p99 of 46 ms, 3% of requests 20 times longer; each target is 4 times slower for a tenth of the time.`,
				'Loads are fractions of the capacity with these slow episodes; demand swings by 30% every 2 s. Latency is measured from the scheduled send time and includes the network delays.',
				'A request without a complete response counts with at least its deadline. In the baselines, callers use all 18 instances.',
			],
		};
	},
};
