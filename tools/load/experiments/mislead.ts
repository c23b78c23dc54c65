import {SiteName} from '../../site/site-name.js';
import {ReportMode} from '../../standins/target/report-mode.js';
import {ArmBench} from '../arms/arm-bench.js';
import {ArmName} from '../arms/arm-name.js';
import type {ArmSite} from '../arms/arm-site.js';
import {createLatencyPlot} from '../arms/create-latency-plot.js';
import {listServiceWorkloads} from '../arms/list-service-workloads.js';
import {workloadParameters} from '../arms/workload-parameters.js';
import type {ExperimentContext} from '../experiment-context.js';
import type {Experiment} from '../experiment.js';
import {createCheck} from '../report/create-check.js';

const defaultSeconds = 8;
const sliceMs = 2000;
const load = 0.8;
const reportDelayMs = 2000;
const modes = Object.values(ReportMode);

const createName = (siteName: SiteName, mode: ReportMode) => `${siteName} rattansill, reports ${mode}`;

/** Sets the load report mode of a third of the targets of each service. */
const setReportMode = async (arm: ArmSite, mode: ReportMode): Promise<void> => {
	const stats = await arm.site.fleet.readStats();
	const affectedTargets = stats.map(item => item.target).toSorted((a, b) => a.localeCompare(b)).filter((_, index) => index % 3 === 0);
	await arm.site.fleet.setBehavior(affectedTargets, {reportMode: mode, reportDelayMs});
};

const runSite = async (context: ExperimentContext, siteName: SiteName, bench: ArmBench): Promise<void> => {
	const arms = await bench.startArms(siteName, [ArmName.Rattansill]);
	const arm = arms[0]!;
	const workloads = listServiceWorkloads(arm.site, workloadParameters.longShare);
	await arm.warmUp(workloads);
	const rounds = Math.max(1, Math.round((context.seconds ?? defaultSeconds) * 1000 / sliceMs));
	for (let round = 0; round < rounds; round++) {
		for (const mode of modes) {
			await setReportMode(arm, mode);
			await bench.measureSlice(arm, createName(siteName, mode), {
				seed: (context.seed * 100) + round, durationMs: sliceMs, workloads, load,
			});
		}
	}

	arm.site.dispose();
};

/** Measures the effect of wrong load reports on tail latency. */
export const misleadExperiment: Experiment = {
	name: 'mislead',
	description: 'p99 of short requests with reports frozen, inverted or 2 s old at a third of the targets, compared with true reports',
	async run(context) {
		const bench = new ArmBench(context);
		const siteNames = context.sites ?? Object.values(SiteName);
		for (const siteName of siteNames) {
			await runSite(context, siteName, bench);
		}

		const getP99 = (siteName: SiteName, mode: ReportMode) => bench.getSamples(createName(siteName, mode)).computeShortPercentile(99);
		return {
			arms: bench.results.map(samples => samples.createResult()),
			checks: siteNames.flatMap(siteName => modes.filter(mode => mode !== ReportMode.Honest).map(mode => createCheck(
				`${siteName}: short p99 with reports ${mode}, to true reports`,
				{atMost: 1.2},
				getP99(siteName, mode) / getP99(siteName, ReportMode.Honest),
			))),
			plots: siteNames.map(siteName => createLatencyPlot(`${siteName}: short requests by kind of report`, modes.map(mode => bench.getSamples(createName(siteName, mode))))),
			notes: [`Load ${load * 100}%; conditions alternate on one site with the same arrivals.`],
		};
	},
};
