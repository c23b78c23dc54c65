import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {request} from 'undici';
import {SiteName} from '../tools/site/site-name.js';
import {Site} from '../tools/site/site.js';

const slots = 4;

describe('entries of one service', () => {
	const site = new Site({
		site: SiteName.Wigroom, entryCount: 3, services: ['lacefront'], targetsPerService: 2, serviceTimeMs: () => 300, settings: {routes: {entriesPerService: 3}},
	});
	const sendRequest = async (entry: number, path: string) => {
		const answer = await request(`http://127.0.0.1:${site.instances[entry]?.dataPort}${path}`, {headers: {host: 'lacefront'}});
		await answer.body.dump();
		return answer.statusCode;
	};

	const countArrived = async () => {
		const records = await site.fleet.readRecords();
		return records.length;
	};

	/** Fills every slot through the first entry, then sends one request through the second. */
	const runRound = async (round: number) => {
		await site.fleet.clearLedgers();
		const first = Array.from({length: slots}, async (_, index) => sendRequest(0, `/round-${round}/${index}`));
		await expect.poll(countArrived).toBe(slots);
		const last = sendRequest(1, `/round-${round}/last`);
		const statuses = await Promise.all([...first, last]);
		const records = await site.fleet.readRecords();
		return {statuses, held: records.find(record => record.path.endsWith('/last')), others: records.filter(record => !record.path.endsWith('/last'))};
	};

	beforeAll(async () => {
		await site.start();
	});
	afterAll(() => {
		site.dispose();
	});

	it('hold a request while the others fill all slots, and send it when one is free', async () => {
		for (let round = 0; round < 20; round++) {
			const {statuses, held, others} = await runRound(round);
			expect(statuses).toEqual(Array.from({length: slots + 1}, () => 200));
			const firstFreeAt = Math.min(...others.map(record => record.endedAt ?? Number.POSITIVE_INFINITY));
			if ((held?.arrivedAt ?? 0) >= firstFreeAt) {
				return;
			}
		}

		expect.fail('no request waited for a slot that another entry held');
	});
});
