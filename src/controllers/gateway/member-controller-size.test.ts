import {err, ok} from 'neverthrow';
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import type {GatewayTarget} from '../../common/gateway/gateway-target.js';
import type {SyncMessage} from '../../common/gateway/sync-message.js';
import {gatewayTarget} from '../../../test/support/gateway-target.js';
import {silentLogger} from '../../../test/support/silent-logger.js';
import {encodeMember} from '../../io/gateway/encode-member.js';
import {MemberController} from './member-controller.js';
import {SiteView} from './site-view.js';

/** Bytes a second that control may take of an instance's link. */
const allowedBytesPerSecond = 20_000;
const measuredSeconds = 10;
const targetCount = 200;

const measureMessage = (message: SyncMessage | undefined): number => JSON.stringify({...message, members: message?.members.map(member => encodeMember(member))}).length;

describe('MemberController in a large fleet', () => {
	const bytes = new Map<string, number>();
	const fleet = new Map<string, {members: MemberController; view: SiteView}>();
	const clock = {now: () => Date.now()};

	const addBytes = (id: string, count: number) => {
		bytes.set(id, (bytes.get(id) ?? 0) + count);
	};

	const addInstance = (id: string, failureDomain: string) => {
		const view = new SiteView({clock, logger: silentLogger});
		const members = new MemberController({
			self: {
				id, failureDomain, dataAddress: `10.0.0.${id}:8641`, peerAddress: id, incarnation: Date.now(),
			},
			seeds: ['0', '1', '2'],
			client: {
				async exchange(address: string, message: SyncMessage) {
					const answer = fleet.get(address)?.members.handleMessage(message);
					const size = measureMessage(message) + measureMessage(answer);
					addBytes(id, size);
					addBytes(address, size);
					return answer === undefined ? err(new Error('no answer')) : ok(answer);
				},
			},
			view,
			clock,
			logger: silentLogger,
		});
		fleet.set(id, {members, view});
		view.onTargets(() => {
			if (members.isHub) {
				void members.announce();
			}
		});
	};

	const listTargets = (changes: number): GatewayTarget[] => Array.from({length: targetCount}, (_item, index) => ({
		...gatewayTarget, id: `i-${index}`, isLeaving: index < changes,
	}));

	beforeEach(() => {
		vi.useFakeTimers();
	});

	afterEach(() => {
		for (const {members} of fleet.values()) {
			members.dispose();
		}

		fleet.clear();
		bytes.clear();
		vi.useRealTimers();
	});

	it.each([12, 60, 125])('keeps the bytes of each of %i instances within the bound while targets change', async size => {
		for (let index = 0; index < size; index++) {
			addInstance(String(index), `z-${index % 4}`);
		}

		for (const {members} of fleet.values()) {
			members.start();
		}

		let second = 0;
		const runSecond = async () => {
			second++;
			const reader = [...fleet.values()].find(({members}) => members.isReader);
			reader?.view.offerTargets({revision: second, targets: listTargets(second)});
			void reader?.members.announceToHubs();
			await vi.advanceTimersByTimeAsync(1000);
		};

		for (let settled = 0; settled < 5; settled++) {
			await runSecond();
		}

		bytes.clear();
		for (let measured = 0; measured < measuredSeconds; measured++) {
			await runSecond();
		}

		expect([...fleet.values()].filter(({view}) => view.targets.filter(target => target.isLeaving).length !== second)).toHaveLength(0);
		expect(Math.max(...bytes.values()) / measuredSeconds).toBeLessThanOrEqual(allowedBytesPerSecond);
	});
});
