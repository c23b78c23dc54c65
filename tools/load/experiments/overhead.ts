import {RequestClass} from '../../../src/common/request-class.js';
import type {TargetSpec} from '../../../src/common/target-spec.js';
import {WorkerProcess} from '../../process/worker-process.js';
import {SiteName} from '../../site/site-name.js';
import {Site} from '../../site/site.js';
import {createSteadyDemand} from '../callers/create-steady-demand.js';
import {CallOutcome} from '../callers/call-outcome.js';
import {LoadWorkerPool} from '../callers/load-worker-pool.js';
import type {LoadPlan} from '../callers/load-plan.js';
import type {ExperimentContext} from '../experiment-context.js';
import type {Experiment} from '../experiment.js';
import {LatencyHistogram} from '../measure/latency-histogram.js';
import {readProcessUsage} from '../measure/read-process-usage.js';
import type {ArmResult} from '../report/arm-result.js';
import {createCheck} from '../report/create-check.js';
import type {ExperimentResult} from '../report/experiment-result.js';

type Arm = {
	readonly name: string;
	readonly pid: number | undefined;
	readonly urls: readonly string[];
};

type Measurements = {
	readonly latencies: LatencyHistogram;
	requests: number;
	whole: number;
	cpuMs: number;
	peakBytes: number;
};

const service = 'lacefront';
const loads = [0.1, 0.3, 0.6];
const checkedLoad = 0.3;
const rounds = 4;
const defaultSeconds = 6;
const capacityWorkerCount = 4;
const capacityConcurrency = 16;
const capacityTestMs = 2000;
const warmUpMs = 1500;
const bytesPerMegabyte = 1_048_576;
const kinds = [{
	name: 'lookup', method: 'GET' as const, path: '/styles/', requestClass: RequestClass.Interactive, isLong: false, share: 1, medianMs: 0, sigma: 0, deadlineMs: 2000,
}];

const createMeasurements = (): Measurements => ({
	latencies: new LatencyHistogram(), requests: 0, whole: 0, cpuMs: 0, peakBytes: 0,
});

/** Runs the arms of the experiment against one instance. */
class OverheadRun {
	private readonly _loadWorker: LoadWorkerPool;
	private readonly _capacityWorkers: LoadWorkerPool;
	private readonly _measurements = new Map<string, Measurements>();

	constructor(private readonly _context: ExperimentContext, private readonly _arms: readonly Arm[]) {
		this._loadWorker = _context.store.add(new LoadWorkerPool(1));
		this._capacityWorkers = _context.store.add(new LoadWorkerPool(capacityWorkerCount));
	}

	/** Measures the capacity of an arm: complete responses per second in a closed loop, over the second half of the test. */
	async measureCapacity(arm: Arm): Promise<number> {
		const plan = {...this._createPlan(arm, 1000, capacityTestMs, 0), concurrency: capacityConcurrency, isSpinning: false};
		const samples = await this._capacityWorkers.run(Array.from({length: capacityWorkerCount}, (_, index) => ({...plan, name: `carried-${index}`})));
		const secondHalf = samples.filter(sample => sample.atMs > capacityTestMs / 2 && sample.outcome === CallOutcome.Complete);
		return secondHalf.length / (capacityTestMs / 2000);
	}

	/** Measures all arms at a rate, in interleaved slices. */
	async measure(load: number, ratePerSecond: number, seconds: number): Promise<void> {
		for (let round = 0; round < rounds; round++) {
			// Rotates the order each round, so that no arm always follows the same other arm.
			const order = this._arms.map((_, index) => this._arms[(index + round) % this._arms.length]!);
			for (const arm of order) {
				await this._runSlice(this.getMeasurements(arm.name, load), arm, this._createPlan(arm, ratePerSecond, seconds * 1000 / rounds, round));
			}
		}
	}

	/** Sends a load whose samples are discarded. */
	async warmUp(ratePerSecond: number): Promise<void> {
		for (const arm of this._arms) {
			await this._loadWorker.run([this._createPlan(arm, ratePerSecond, warmUpMs, 0)]);
		}
	}

	/** Gets the measurements of an arm at a load. */
	getMeasurements(arm: string, load: number): Measurements {
		const key = `${arm} ${load}`;
		const measurements = this._measurements.get(key) ?? createMeasurements();
		this._measurements.set(key, measurements);
		return measurements;
	}

	private async _runSlice(measurements: Measurements, arm: Arm, plan: LoadPlan): Promise<void> {
		const before = arm.pid === undefined ? undefined : await readProcessUsage(arm.pid);
		const samples = await this._loadWorker.run([plan]);
		const after = arm.pid === undefined ? undefined : await readProcessUsage(arm.pid);
		measurements.requests += samples.length;
		measurements.cpuMs += (after?.cpuMs ?? 0) - (before?.cpuMs ?? 0);
		measurements.peakBytes = Math.max(measurements.peakBytes, after?.residentBytes ?? 0);
		for (const sample of samples) {
			if (sample.outcome === CallOutcome.Complete) {
				measurements.whole++;
				measurements.latencies.record(sample.latencyMs);
			}
		}
	}

	private _createPlan(arm: Arm, ratePerSecond: number, durationMs: number, round: number): LoadPlan {
		return {
			name: `${arm.name}-${round}`,
			service,
			seed: (this._context.seed * 1000) + round,
			demand: createSteadyDemand(ratePerSecond),
			durationMs,
			kinds,
			callers: 16,
			domains: ['kingston-1'],
			routeUrls: [],
			directUrls: arm.urls,
			oneWayDelayMs: 0,
			isSpinning: true,
			concurrency: 0,
		};
	}
}

const startArms = async (context: ExperimentContext): Promise<Arm[]> => {
	const site = context.store.add(new Site({
		site: SiteName.Wigroom, entryCount: 1, services: [service], targetsPerService: 4, targetWorkers: 2,
		parameters: {[service]: {slots: 256, longSlots: 256, connections: 4096}},
	}));
	await site.start();
	const targets = site.parameters.get(service)?.values.targets as unknown as readonly TargetSpec[];
	const urls = targets.map(target => `http://${target.host}:${target.port}`);
	const pipe = context.store.add(new WorkerProcess<readonly string[]>('tools/load/pipe/bare-pipe-worker.js'));
	const pipePort = await pipe.run<number>(urls);
	return [
		{name: 'direct', pid: undefined, urls},
		{name: 'pipe', pid: pipe.pid, urls: [`http://127.0.0.1:${pipePort}`]},
		{name: 'entry', pid: site.entries[0]?.pid, urls: [`http://127.0.0.1:${site.instances[0]?.dataPort}`]},
	];
};

const createArmResult = (run: OverheadRun, name: string, load: number): ArmResult => {
	const measurements = run.getMeasurements(name, load);
	const direct = run.getMeasurements('direct', load);
	return {
		name: `${name} ${load * 100}%`,
		requests: measurements.requests,
		whole: measurements.whole,
		p50Ms: measurements.latencies.getPercentile(50),
		p99Ms: measurements.latencies.getPercentile(99),
		addedP50Ms: measurements.latencies.getPercentile(50) - direct.latencies.getPercentile(50),
		addedP99Ms: measurements.latencies.getPercentile(99) - direct.latencies.getPercentile(99),
		cpuMsPerCall: measurements.cpuMs / measurements.requests,
		residentMb: measurements.peakBytes / bytesPerMegabyte,
	};
};

const createResult = (run: OverheadRun, arms: readonly Arm[], capacityPerSecond: number): ExperimentResult => {
	const results = loads.flatMap(load => arms.map(arm => createArmResult(run, arm.name, load)));
	const getMetric = (name: string, metric: string, load = checkedLoad) => Number(results.find(result => result.name === `${name} ${load * 100}%`)?.[metric]);
	const failed = results.reduce((sum, result) => sum + Number(result.requests) - Number(result.whole), 0);
	return {
		arms: results,
		checks: [
			createCheck('p99 added by one hop at 30%', {atMost: 0.81, unit: 'ms'}, getMetric('entry', 'addedP99Ms')),
			createCheck('p50 added, entry to bare pipe at 30%', {atMost: 1.5}, getMetric('entry', 'addedP50Ms') / getMetric('pipe', 'addedP50Ms')),
			createCheck('processor time a call, entry to bare pipe at 30%', {atMost: 1.5}, getMetric('entry', 'cpuMsPerCall') / getMetric('pipe', 'cpuMsPerCall')),
			createCheck('resident memory of the daemon', {atMost: 128, unit: 'MB'}, Math.max(...loads.map(load => getMetric('entry', 'residentMb', load)))),
			createCheck('requests without a whole answer', {atMost: 0}, failed),
		],
		notes: [
			`One instance carried ${Math.round(capacityPerSecond)} calls per second with ${capacityWorkerCount * capacityConcurrency} in flight; loads are fractions of this, equal for all arms.`,
			'Targets respond immediately, so that the hop dominates the results; the arms run in interleaved slices.',
		],
		plots: [{
			title: 'Latency by load and arm',
			spec: {
				data: {values: results.flatMap(result => [{arm: result.name, percentile: 'p50', ms: result.p50Ms}, {arm: result.name, percentile: 'p99', ms: result.p99Ms}])},
				mark: 'bar',

				encoding: {
					x: {field: 'arm', type: 'nominal', sort: null}, xOffset: {field: 'percentile'}, y: {field: 'ms', type: 'quantitative'}, color: {field: 'percentile'},
				},
			},
		}],
	};
};

/** Measures the overhead of one hop through an instance, compared with a direct call and a minimal proxy (the bare pipe). */
export const overheadExperiment: Experiment = {
	name: 'overhead',
	description: 'Latency, processor time and memory of one hop at 10, 30 and 60% of the capacity of one instance',
	async run(context) {
		const arms = await startArms(context);
		const run = new OverheadRun(context, arms);
		await run.warmUp(500);
		const capacityPerSecond = await run.measureCapacity(arms.at(-1)!);
		context.log(`one instance carries ${Math.round(capacityPerSecond)} calls per second`);
		for (const load of loads) {
			await run.measure(load, load * capacityPerSecond, context.seconds ?? defaultSeconds);
			context.log(`load ${load * 100}% done`);
		}

		return createResult(run, arms, capacityPerSecond);
	},
};
