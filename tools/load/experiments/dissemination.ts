import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {SeededRandom} from '../../random/seeded-random.js';
import {PlatformOutage} from '../../standins/platform/platform-outage.js';
import type {ExperimentContext} from '../experiment-context.js';
import type {Experiment} from '../experiment.js';
import {ControlPlaneFleet} from '../fleet/control-plane-fleet.js';
import type {ArmResult} from '../report/arm-result.js';
import type {CheckResult} from '../report/check-result.js';
import {createCheck} from '../report/create-check.js';

/** Default number of instances. `RATTANSILL_ENTRIES` overrides it; a larger fleet has a looser bound. */
const defaultEntryCount = 18;
const serviceCount = 8;
const targetsPerService = 10;
const changeCount = 12;
const activationTimeoutMs = 15_000;
const maxCallsPerSecond = 2000;
const killedShare = 0.25;
const settleMs = 4000;

const pickPercentile = (values: readonly number[], share: number): number => [...values].sort((a, b) => a - b)[Math.min(values.length - 1, Math.floor(values.length * share))] ?? Number.NaN;

/** Runs the arms of the experiment on one fleet. */
class DisseminationRun {
	readonly arms: ArmResult[] = [];

	constructor(private readonly _fleet: ControlPlaneFleet, private readonly _random: SeededRandom) {}

	/** Publishes changes and records the time until each is active on every running instance. */
	async measureArm(name: string, count = changeCount): Promise<void> {
		const ids = [...this._fleet.entries.keys()];
		const worstTimesMs: number[] = [];
		const allTimesMs: number[] = [];
		const usage = await this._fleet.measureUsage(async () => {
			for (let change = 0; change < count; change++) {
				const service = this._fleet.publishService(Math.floor(this._random.getNext() * serviceCount));
				const times = await this._fleet.waitUntilActive(service, ids, activationTimeoutMs);
				allTimesMs.push(...times);
				worstTimesMs.push(Math.max(...times));
				await sleep(100);
			}
		});
		this.arms.push({
			name, entries: ids.length, changes: count, p50Ms: pickPercentile(allTimesMs, 0.5), worstMs: Math.max(...worstTimesMs), ...usage,
		});
	}

	/** Measures resource usage without changes. */
	async measureIdle(): Promise<void> {
		const usage = await this._fleet.measureUsage(async () => sleep(settleMs));
		this.arms.push({name: 'at rest', entries: this._fleet.entries.size, ...usage});
	}

	/** Kills a quarter of the instances, measures the others immediately, and returns the ids of the killed ones. */
	async measureAfterKills(): Promise<string[]> {
		const ids = [...this._fleet.entries.keys()];
		const killed = ids.filter((_, index) => index % Math.round(1 / killedShare) === 0);
		await Promise.all(killed.map(async id => this._fleet.killEntry(id)));
		await this.measureArm('a quarter killed', 4);
		return killed;
	}

	/** Makes the platform refuse requests for a while and publishes a change during the outage. */
	async measureOutage(): Promise<void> {
		await this._fleet.platform.primary.setOutage(PlatformOutage.Refuse);
		const service = this._fleet.publishService(0);
		await sleep(settleMs);
		await this._fleet.platform.primary.setOutage(PlatformOutage.None);
		const recoveredAt = Date.now();
		const times = await this._fleet.waitUntilActive(service, [...this._fleet.entries.keys()], activationTimeoutMs);
		const worstMs = Math.max(...times);
		this.arms.push({
			name: 'after an outage of 4 s', entries: this._fleet.entries.size, worstMs, worstAfterReturnMs: Number.isFinite(worstMs) ? Date.now() - recoveredAt : worstMs,
		});
	}
}

const createChecks = (run: DisseminationRun, fleet: ControlPlaneFleet, count: number): CheckResult[] => {
	const boundMs = count <= defaultEntryCount ? 2000 : 7000;
	const worst = Math.max(...run.arms.flatMap(arm => arm.name === 'after an outage of 4 s' || arm.worstMs === undefined ? [] : [Number(arm.worstMs)]));
	return [
		createCheck(`worst time to in force at ${count} entries`, {atMost: boundMs, unit: 'ms'}, worst),
		createCheck('platform calls in the worst second, waiting watches added', {atMost: maxCallsPerSecond}, fleet.platform.calls.peak + fleet.platform.waiting),
		createCheck('reversions', {atMost: 0}, fleet.listReversions().length),
	];
};

/** Measures the time from a change at the platform until it is active on every running instance. */
export const disseminationExperiment: Experiment = {
	name: 'dissemination',
	description: 'Time from a change at the platform until it is active on all instances; RATTANSILL_ENTRIES sets their number',
	async run(context: ExperimentContext) {
		const count = Number(process.env.RATTANSILL_ENTRIES ?? defaultEntryCount);
		const fleet = context.store.add(new ControlPlaneFleet({entries: count, services: serviceCount, targetsPerService}));
		const run = new DisseminationRun(fleet, new SeededRandom(context.seed));
		await fleet.start();
		context.log(`${count} instances are running`);
		await sleep(settleMs);
		await run.measureIdle();
		await run.measureArm('all live');
		context.log('all live done');
		const killed = await run.measureAfterKills();
		context.log('a quarter killed done');
		if (count <= defaultEntryCount) {
			await fleet.startEntries(killed, count);
			await run.measureArm('after the replacement', 4);
			await run.measureOutage();
			const ids = [...fleet.entries.keys()];
			await Promise.all(ids.map(async id => fleet.killEntry(id)));
			await fleet.startEntries(ids, count);
			await run.measureArm('all restarted at once', 4);
		}

		return {
			arms: run.arms,
			checks: createChecks(run, fleet, count),
			notes: ['Bytes are those that a process read and wrote, without TCP/IP headers; network partitions and the call limit are not part of this experiment.',
				'Replacement, outage and restart of all instances run with at most 18 instances.'],
		};
	},
};
