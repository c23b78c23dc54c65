import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {request} from 'undici';
import {SiteName} from '../tools/site/site-name.js';
import {Site} from '../tools/site/site.js';

/** Slots of all targets of the service together. */
const totalSlots = 4;

describe('entries of one service', () => {
	const site = new Site({
		site: SiteName.Wigroom, entryCount: 3, services: ['lacefront'], targetsPerService: 2, serviceTimeMs: () => 300, settings: {routes: {entriesPerService: 3}},
	});
	const sendRequest = async (entry: number, path: string) => {
		const response = await request(`http://127.0.0.1:${site.instances[entry]?.dataPort}${path}`, {headers: {host: 'lacefront'}});
		await response.body.dump();
		return response.statusCode;
	};

	const countArrived = async () => {
		const records = await site.fleet.readRecords();
		return records.length;
	};

	/** Occupies every slot through the first entry, then sends one request through the second. */
	const runRound = async (round: number) => {
		await site.fleet.clearLedgers();
		const pendingFirst = Array.from({length: totalSlots}, async (_, index) => sendRequest(0, `/round-${round}/${index}`));
		await expect.poll(countArrived).toBe(totalSlots);
		const pendingLast = sendRequest(1, `/round-${round}/last`);
		const statuses = await Promise.all([...pendingFirst, pendingLast]);
		const records = await site.fleet.readRecords();
		return {statuses, queuedRecord: records.find(record => record.path.endsWith('/last')), others: records.filter(record => !record.path.endsWith('/last'))};
	};

	beforeAll(async () => {
		await site.start();
	});
	afterAll(() => {
		site.dispose();
	});

	it('hold a request while the others fill all slots, and send it when one is free', async () => {
		for (let round = 0; round < 20; round++) {
			const {statuses, queuedRecord, others} = await runRound(round);
			expect(statuses).toEqual(Array.from({length: totalSlots + 1}, () => 200));
			const firstFreeAt = Math.min(...others.map(record => record.endedAt ?? Number.POSITIVE_INFINITY));
			if ((queuedRecord?.arrivedAt ?? 0) >= firstFreeAt) {
				return;
			}
		}

		expect.fail('no request waited for a slot that another entry held');
	});
});
