import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import {ok} from 'neverthrow';
import {
	afterEach, describe, expect, it, vi,
} from 'vitest';
import {ClientConnections} from '../../controllers/gateway/client-connections.js';
import type {SiteView} from '../../controllers/gateway/site-view.js';
import {TargetClient} from '../../io/gateway/target-client.js';
import {collectGarbage} from '../../../test/support/collect-garbage.js';
import {createUnlimitedHold} from '../../../test/support/create-unlimited-hold.js';
import {BodyFilter} from './body-filter.js';
import {GatewayContext} from './gateway-context.js';

const bodyBytes = 1_000_000;
/** More than the system takes over for a caller that does not read. */
const largeResponse = Buffer.alloc(16_000_000);
const limits = {memoryBytes: 100_000_000, connections: 10, requestsPerConnection: 10};

const listen = async (server: Server): Promise<number> => {
	await once(server.listen(0, '127.0.0.1'), 'listening');
	return (server.address() as AddressInfo).port;
};

// Guards against bodies that stay in memory after they were released in the account: one for each open connection of a caller and of a target.
describe('the memory of a request whose connections stay open', () => {
	const cleanUps: Array<() => void> = [];

	afterEach(() => {
		for (const cleanUp of cleanUps.splice(0)) {
			cleanUp();
		}
	});

	it.each([
		['has read the response', true, Buffer.from('ok'), []],
		['does not read the response', false, largeResponse, ['request', 'response body']],
	])('is referenced no longer than needed when the caller %s', async (_name, isReading, responseBody, expected) => {
		const references = new Map<string, WeakRef<WeakKey>>();
		const target = createServer({keepAliveTimeout: 60_000}, (request, response) => {
			request.resume().on('end', () => {
				response.end(responseBody);
			});
		});
		const targetClient = new TargetClient({
			host: '127.0.0.1', port: await listen(target), getMaxConnections: () => 2, maxResponseBytes: largeResponse.length,
		});
		const clients = new ClientConnections({
			limits,
			processLimitBytes: limits.memoryBytes,
			residentMemory: {bytes: 0},
			countOtherBytes: () => 0,
			metrics: {countEvent: () => undefined, recordGauge: () => undefined, recordDuration: () => undefined},
			logger: {logError: () => undefined},
		});
		const filter = new BodyFilter({view: {configuration: {limits: {bodyBytes}}} as unknown as SiteView, clients});
		let isSent = false;
		const server = createServer(async (request, response) => {
			clients.admit(request, response);
			const context = new GatewayContext(request, response, {receivedAt: 0, readAt: 0}, undefined);
			references.set('request', new WeakRef(request));
			const result = await filter.handleRequest(context, async () => {
				references.set('request body', new WeakRef(context.body.blocks[0]!.buffer));
				const exchange = await targetClient.sendRequest({
					method: 'POST',
					path: '/',
					createHeaders: () => ['host', 'h'],
					body: context.body,
					confirmSend: async () => true,
					canReuseConnection: () => true,
					memory: createUnlimitedHold(),
					signal: context.signal,
				});
				if (exchange.kind !== 'answer') {
					throw new Error(exchange.kind);
				}

				references.set('response body', new WeakRef(exchange.answer.body.buffer));
				return ok(exchange.answer);
			});
			response.end(result._unsafeUnwrap().body);
			isSent = true;
		});
		clients.watch(server, () => 0);
		const caller = connect(await listen(server), '127.0.0.1');
		cleanUps.push(() => {
			caller.destroy();
			targetClient.dispose();
			clients.dispose();
			target.close();
			server.close();
		});
		caller.write(`POST / HTTP/1.1\r\nHost: h\r\nContent-Length: ${bodyBytes}\r\n\r\n${'a'.repeat(bodyBytes)}`);
		if (isReading) {
			caller.resume();
		}

		await vi.waitFor(() => {
			collectGarbage();
			expect(isSent && targetClient.hasIdleConnection).toBe(true);
			expect([...references].filter(([, reference]) => reference.deref() !== undefined).map(([name]) => name)).toEqual(expected);
		}, {timeout: 3000, interval: 100});
		expect(caller.destroyed).toBe(false);
	});
});
