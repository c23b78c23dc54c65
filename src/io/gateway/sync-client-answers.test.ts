import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {silentLogger} from '../../../test/support/silent-logger.js';
import type {SyncMessage} from '../../common/gateway/sync-message.js';
import {disabledMetrics} from '../disabled-metrics.js';
import {ByteMeter} from './byte-meter.js';
import {SyncClient} from './sync-client.js';

const message: SyncMessage = {
	from: 'a',
	incarnation: 1,
	changeNumber: 0,
	takenNumber: 0,
	digest: 0,
	members: [],
	view: {
		configuration: 0, configurationAgeMs: 0, targets: 0, targetsAgeMs: 0,
	},
};

// Guards against a rejected promise: nobody waits for these calls, so it would end the process.
describe('a call to a peer that answers nonsense', () => {
	let body = '';
	const server = createServer((request, response) => {
		request.resume();
		response.end(body);
	});
	const client = new SyncClient(new ByteMeter(), disabledMetrics, silentLogger);
	let address = '';

	beforeAll(async () => {
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
	});

	afterAll(() => {
		client.dispose();
		server.close();
		server.closeAllConnections();
	});

	it.each([
		'',
		'{',
		'null',
		'5',
		'"x"',
		'[]',
		'{}',
		'{"__proto__":null}',
		'{"result":null}',
		'{"result":5}',
		'{"result":{"data":null}}',
		'{"result":{"data":5}}',
		'{"result":{"data":{}}}',
		'{"result":{"data":{"packed":null,"ageMs":1}}}',
		'{"result":{"data":{"packed":"","ageMs":1}}}',
		JSON.stringify({result: {data: {...message, targets: {since: 0, changed: [], removed: [5]}, members: 5}}}),
		'{"error":null}',
		'{"error":5}',
		'{"error":{}}',
		'{"error":{"message":5,"code":"x"}}',
		'{"error":{"message":"m","code":1,"data":null}}',
		'{"error":{"message":"m","code":1,"data":5}}',
	])('with %s fails and does not reject', async answer => {
		body = answer;
		const exchanged = await client.exchange(address, message);
		expect(exchanged.isErr()).toBe(true);
		const fetched = await client.fetchConfiguration(address, () => 0);
		expect(fetched.isErr()).toBe(true);
	});

	it('without data is taken for one that has no newer configuration', async () => {
		body = '{"result":{}}';
		const fetched = await client.fetchConfiguration(address, () => 0);
		expect(fetched._unsafeUnwrap()).toBeUndefined();
	});
});
