import {
	afterEach, describe, expect, it,
} from 'vitest';
import {HeldBytes} from '../../policy/gateway/held-bytes.js';
import {silentLogger} from '../../../test/support/silent-logger.js';
import type {GatewayConfiguration} from '../../common/gateway/gateway-configuration.js';
import {MemberState} from '../../common/gateway/member-state.js';
import type {PublishedConfiguration} from '../../common/gateway/published-configuration.js';
import type {SyncMessage} from '../../common/gateway/sync-message.js';
import {disabledMetrics} from '../disabled-metrics.js';
import {HttpListener} from '../http-listener.js';
import {ByteMeter} from './byte-meter.js';
import {createCallHandler} from './create-call-handler.js';
import {createSyncRouter} from './create-sync-router.js';
import {SyncClient} from './sync-client.js';

const message: SyncMessage = {
	from: 'a',
	incarnation: 1,
	changeNumber: 2,
	takenNumber: 3,
	digest: 4,
	members: [{
		id: 'a', failureDomain: 'd', dataAddress: '10.0.0.1:1', peerAddress: '10.0.0.1:2', cores: 0.5, incarnation: 1, revision: 5, state: MemberState.Running, isServing: true, canRead: false,
	}],
	view: {
		configuration: 3, configurationAgeMs: 10, targets: 7, targetsAgeMs: 20,
	},
	targets: {since: 0, changed: [], removed: [['i-1', 6]]},
};

const configuration: GatewayConfiguration = {
	version: 3,
	routes: Array.from({length: 1400}, (_item, index) => ({
		name: `r-${index}`, host: 'h.example', pathPrefix: `/r-${index}/`, shares: [{service: 's', weight: 1}], isIdempotent: true, timeoutMs: 1500, objectiveMs: 400, priority: 2, maxAttempts: 2,
	})),
	services: [{name: 's', healthPath: '/health', connectionsPerTarget: 260}],
	limits: {
		headerBytes: 1, bodyBytes: 1, headersTimeoutMs: 1, idleTimeoutMs: 1,
	},
};

describe('SyncClient', () => {
	const meter = new ByteMeter();
	const listener = new HttpListener({}, (request, response) => {
		void handleCall(request, response);
	});
	const client = new SyncClient(meter, disabledMetrics, silentLogger);
	let published: PublishedConfiguration | undefined;
	const handleCall = createCallHandler(createSyncRouter({handleMessage: received => ({...received, from: 'b'}), getConfiguration: () => published}, silentLogger), new HeldBytes(10_000_000));

	const listen = async (): Promise<string> => {
		const listened = await listener.listen({host: '127.0.0.1', port: 0});
		expect(listened.isOk()).toBe(true);
		return `127.0.0.1:${listener.port}`;
	};

	afterEach(() => {
		client.dispose();
		listener.dispose();
	});

	it('transfers messages and configurations unchanged', async () => {
		const address = await listen();
		const exchanged = await client.exchange(address, message);
		expect(exchanged._unsafeUnwrap()).toEqual({...message, from: 'b'});
		const unpublished = await client.fetchConfiguration(address, () => 0);
		expect(unpublished._unsafeUnwrap()).toBeUndefined();
		published = {configuration, ageMs: 12};
		const fetched = await client.fetchConfiguration(address, () => 2);
		expect(fetched._unsafeUnwrap()).toEqual(published);
		const unchanged = await client.fetchConfiguration(address, () => 3);
		expect(unchanged._unsafeUnwrap()).toBeUndefined();
		// Transferring a configuration of 1,400 routes takes a fraction (some tenths) of a small instance's link for one second, not all of it.
		expect(meter.totalBytes).toBeLessThan(100_000);
	});

	// Guards against a large configuration that is dropped and asked for again, since a small message would have arrived in its time.
	it('waits longer for a configuration than for a message', async () => {
		const address = await listen();
		published = {configuration, ageMs: 12};
		const handleRequest = listener.server.listeners('request')[0] as (...parts: unknown[]) => void;
		listener.server.removeAllListeners('request');
		listener.server.on('request', (...parts) => {
			setTimeout(handleRequest, 700, ...parts);
		});
		const [exchanged, fetched] = await Promise.all([client.exchange(address, message), client.fetchConfiguration(address, () => 2)]);
		expect(exchanged.isErr()).toBe(true);
		expect(fetched.isOk()).toBe(true);
	});

	it('fails a call to an address that nothing listens on', async () => {
		const exchanged = await client.exchange('127.0.0.1:1', message);
		expect(exchanged.isErr()).toBe(true);
	});
});
