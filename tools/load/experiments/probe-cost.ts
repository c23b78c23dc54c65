import {SiteName} from '../../site/site-name.js';
import type {TargetStats} from '../../standins/target/target-stats.js';
import {ArmBench} from '../arms/arm-bench.js';
import {ArmName} from '../arms/arm-name.js';
import type {ArmSite} from '../arms/arm-site.js';
import {computePeakRate} from '../arms/compute-peak-rate.js';
import {listServiceWorkloads} from '../arms/list-service-workloads.js';
import {workloadParameters} from '../arms/workload-parameters.js';
import type {ExperimentContext} from '../experiment-context.js';
import type {Experiment} from '../experiment.js';
import type {ArmResult} from '../report/arm-result.js';
import {createCheck} from '../report/create-check.js';

enum Condition {
	Steady = 'steady',
	/** The instance list is frozen while two instances are replaced. */
	StaleList = 'lagging list',
	/** Half of the instances are partitioned from all peers. */
	Partition = 'split',
	/** All instances are killed and restarted at the same time. */
	Restart = 'restart storm',
}

type Cost = {readonly result: ArmResult; readonly peakToBudget: number; readonly messagesPerRequest: number};
type CostInput = {
	readonly name: string;
	readonly site: ArmSite;
	readonly before: readonly TargetStats[];
	readonly after: readonly TargetStats[];
	readonly requests: number;
};

const defaultSeconds = 4;
const load = 0.65;
const defaultProbesPerSecond: Readonly<Record<string, number>> = {
	catalogue: 2, orders: 2, archive: 1, reference: 1,
};

/** Gets the limit of probes per second to a target, summed over all instances. */
const getProbeRateLimit = (site: ArmSite, target: string): number => {
	const parameters = site.site.parameters.get(target.replace(/-\d+$/v, ''));
	return Number(parameters?.values.probesPerSecond ?? defaultProbesPerSecond[parameters?.template ?? ''] ?? 0);
};

const computeCost = ({name, site, before, after, requests}: CostInput): Cost => {
	let peakToBudget = 0;
	let messageCount = 0;
	let bytes = 0;
	let targetMs = 0;
	for (const stats of after) {
		const earlierStats = before.find(item => item.target === stats.target);
		// Includes probes sent before the condition, as a window of one second may start before it.
		peakToBudget = Math.max(peakToBudget, computePeakRate(stats.probeTimes) / getProbeRateLimit(site, stats.target));
		messageCount += stats.probeTimes.length - (earlierStats?.probeTimes.length ?? 0);
		bytes += stats.probeBytes - (earlierStats?.probeBytes ?? 0);
		targetMs += stats.probeMs - (earlierStats?.probeMs ?? 0);
	}

	return {
		peakToBudget,
		messagesPerRequest: messageCount / requests,
		result: {
			name, requests, messages: messageCount, messagesPerRequest: messageCount / requests, bytesPerRequest: bytes / requests, targetMsPerRequest: targetMs / requests, peakToBudget,
		},
	};
};

const setCondition = async (arm: ArmSite, condition: Condition): Promise<void> => {
	const {site} = arm;
	const restart = async (count: number) => {
		const instances = site.instances.slice(0, count);
		await Promise.all(site.entries.slice(0, count).map(async entry => entry.stop('SIGKILL')));
		await Promise.all(instances.map(async instance => site.startEntry(instance)));
	};

	switch (condition) {
		case Condition.Steady: {
			break;
		}

		case Condition.StaleList: {
			site.platform.primary.setFrozen(true);
			await restart(2);
			break;
		}

		case Condition.Partition: {
			site.platform.primary.setFrozen(false);
			const isolatedPids = site.entryPids.filter((_, index) => index % 2 === 0);
			for (const proxy of site.peerProxies.values()) {
				proxy.setPartitionedPids(isolatedPids);
			}

			break;
		}

		case Condition.Restart: {
			for (const proxy of site.peerProxies.values()) {
				proxy.setPartitionedPids([]);
			}

			await Promise.all(site.entries.map(async entry => entry.stop('SIGKILL')));
			await Promise.all(site.instances.map(async instance => site.startEntry(instance)));
			break;
		}
	}
};

const measure = async (bench: ArmBench, arm: ArmSite, name: string, context: ExperimentContext): Promise<Cost> => {
	const before = await arm.site.fleet.readStats();
	const workloads = listServiceWorkloads(arm.site, workloadParameters.longShare);
	const samples = await bench.measureSlice(arm, name, {
		seed: context.seed, durationMs: (context.seconds ?? defaultSeconds) * 1000, workloads, load,
	});
	return computeCost({
		name, site: arm, before, after: await arm.site.fleet.readStats(), requests: samples.length,
	});
};

const runSite = async (context: ExperimentContext, siteName: SiteName, bench: ArmBench) => {
	const [pool] = await bench.startArms(siteName, [ArmName.ProbePool]);
	const poolCost = await measure(bench, pool!, `${siteName} probe pool`, context);
	pool!.site.dispose();
	const [arm] = await bench.startArms(siteName, [ArmName.Rattansill], {isProxyingEntries: true});
	const costs: Array<{readonly condition: Condition; readonly cost: Cost}> = [];
	for (const condition of Object.values(Condition)) {
		await setCondition(arm!, condition);
		costs.push({condition, cost: await measure(bench, arm!, `${siteName} rattansill, ${condition}`, context)});
		context.log(`${siteName}: ${condition} measured`);
	}

	arm!.site.dispose();
	return {
		results: [poolCost.result, ...costs.map(({cost}) => cost.result)],
		checks: costs.flatMap(({condition, cost}) => [
			createCheck(`${siteName}, ${condition}: most measuring requests to a target in any second, to its budget`, {atMost: 1}, cost.peakToBudget),
			createCheck(`${siteName}, ${condition}: measuring messages a request, to the probe pool's`, {atMost: 0.1}, cost.messagesPerRequest / poolCost.messagesPerRequest),
		]),
	};
};

/** Measures what probes cost the targets. */
export const probeCostExperiment: Experiment = {
	name: 'probe-cost',
	description: 'Probes, bytes and target time per request against the probe budget, also with a stale list, a network partition and a restart storm',
	async run(context) {
		const bench = new ArmBench(context);
		const parts = [];
		for (const siteName of context.sites ?? Object.values(SiteName)) {
			parts.push(await runSite(context, siteName, bench));
		}

		return {
			arms: parts.flatMap(part => part.results),
			checks: parts.flatMap(part => part.checks),
			notes: [
				`Load ${load * 100}%. Targets count each call of their load and health endpoints; the peak is taken over every window of one second since the start, not only clock seconds.`,
				'Target time is the processor time of the call at the stand-in target, without the network delay.',
			],
		};
	},
};
