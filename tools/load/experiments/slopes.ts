import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Experiment} from '../experiment.js';
import {ControlPlaneFleet} from '../fleet/control-plane-fleet.js';
import {fitLine} from '../measure/fit-line.js';
import type {ArmResult} from '../report/arm-result.js';
import {createCheck} from '../report/create-check.js';

type Point = {
	readonly axis: string;
	readonly value: number;
	readonly entries: number;
	readonly services: number;
	readonly targets: number;
	readonly changesPerSecond: number;
};

const base = {
	entries: 6, services: 8, targets: 10, changesPerSecond: 0,
};
const axes: Readonly<Record<string, readonly Point[]>> = {
	entries: [6, 18, 36, 60].map(value => ({
		...base, axis: 'entries', value, entries: value,
	})),
	services: [8, 50, 100, 200].map(value => ({
		...base, axis: 'services', value, services: value,
	})),
	targets: [10, 50, 100, 200].map(value => ({
		...base, axis: 'targets', value, targets: value,
	})),
	changes: [0, 1, 2, 4].map(value => ({
		...base, axis: 'changes', value, changesPerSecond: value,
	})),
};
const metrics = ['cpuPercent', 'residentMb', 'kilobytesPerSecond', 'platformCallsPerSecond', 'watches'] as const;
const settleMs = 4000;
const measureMs = 5000;

const measurePoint = async (point: Point): Promise<ArmResult> => {
	const fleet = new ControlPlaneFleet({entries: point.entries, services: point.services, targetsPerService: point.targets});
	try {
		await fleet.start();
		await sleep(settleMs);
		const usage = await fleet.measureUsage(async () => {
			const endAt = Date.now() + measureMs;
			for (let change = 0; Date.now() < endAt; change++) {
				if (point.changesPerSecond > 0) {
					fleet.publishService(change % point.services);
				}

				await sleep(point.changesPerSecond > 0 ? 1000 / point.changesPerSecond : measureMs);
			}
		});
		return {name: `${point.axis} ${point.value}`, value: point.value, ...usage};
	} finally {
		fleet.dispose();
	}
};

/** Measures how the control-plane cost of an instance grows with the size of the fleet, along one axis per run. */
export const slopesExperiment: Experiment = {
	name: 'slopes',
	description: 'Control-plane cost per instance by number of entries, services, targets or changes; RATTANSILL_AXIS sets the axis',
	async run(context) {
		const points = axes[process.env.RATTANSILL_AXIS ?? 'entries'] ?? [];
		const arms: ArmResult[] = [];
		for (const point of points) {
			arms.push(await measurePoint(point));
			context.log(`${point.axis} ${point.value} done`);
		}

		const fits = metrics.map(metric => ({metric, ...fitLine(arms.map(arm => [Number(arm.value), Number(arm[metric])] as const))}));
		return {
			arms: [...arms, ...fits.map(({metric, slope, intercept, residual}) => ({
				name: `fit ${metric}`, slope, intercept, residual,
			}))],
			checks: [createCheck('points', {atLeast: 4}, arms.length)],
			notes: ['Each point is measured on its own fleet, idle or with changes; lines are fitted by least squares, and the residual is the root mean square.'],
		};
	},
};
