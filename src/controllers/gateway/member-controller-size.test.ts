import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import type {GatewayTarget} from '../../common/gateway/gateway-target.js';
import {gatewayTarget} from '../../../test/support/gateway-target.js';
import {InMemoryFleet} from '../../../test/support/in-memory-fleet.js';

/** Limit of the control traffic of one instance, in bytes per second. */
const allowedBytesPerSecond = 20_000;
const measuredSeconds = 10;
const targetCount = 200;

describe('MemberController in a large fleet', () => {
	let fleet = new InMemoryFleet({seeds: []});

	const listTargets = (second: number): GatewayTarget[] => Array.from({length: targetCount}, (_item, index) => ({
		...gatewayTarget, id: `i-${index}`, isLeaving: index < second, revision: index < second ? index + 1 : 1,
	}));

	beforeEach(() => {
		vi.useFakeTimers();
	});

	afterEach(() => {
		fleet.dispose();
		vi.useRealTimers();
	});

	it.each([12, 60, 125, 300])('keeps the traffic of each of %i instances within the limit while targets change', async size => {
		fleet = new InMemoryFleet({seeds: ['0', '1', '2']});
		for (let index = 0; index < size; index++) {
			fleet.addInstance(String(index), `z-${index % 4}`);
		}

		let second = 0;
		const runSecond = async () => {
			second++;
			const reader = fleet.running.find(({members}) => members.isReader);
			reader?.view.offerTargets({revision: second, targets: listTargets(second)}, 0);
			await fleet.advanceTime(1000);
		};

		for (let settled = 0; settled < 5; settled++) {
			await runSecond();
		}

		fleet.bytes.clear();
		for (let measured = 0; measured < measuredSeconds; measured++) {
			await runSecond();
		}

		expect(fleet.running.filter(({view}) => view.targets.filter(target => target.isLeaving).length !== second)).toHaveLength(0);
		expect(Math.max(...fleet.bytes.values()) / measuredSeconds).toBeLessThanOrEqual(allowedBytesPerSecond);
	});
});
