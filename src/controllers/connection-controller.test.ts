import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import fc from 'fast-check';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {ErrorKind} from '../common/error-kind.js';
import {RequestError} from '../common/request-error.js';
import type {TargetConnection} from '../io/target-connection.js';
import {computeConnectionShare} from '../policy/compute-connection-share.js';
import {ConnectionController} from './connection-controller.js';

describe('ConnectionController', () => {
	let server: Server;
	let sockets: Socket[];
	let now: number;
	let connections: ConnectionController;
	const clock = {now: () => now};

	beforeEach(async () => {
		now = 1000;
		sockets = [];
		server = createServer(socket => {
			sockets.push(socket);
			socket.on('data', () => {
				socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok');
			}).on('error', () => undefined);
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		connections = new ConnectionController({connectTimeoutMs: 1000, clock});
	});
	afterEach(() => {
		connections.dispose();
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	});

	const getTarget = () => ({
		id: 't', host: '127.0.0.1', port: (server.address() as AddressInfo).port, failureDomain: 'a', leaving: false,
	});
	const acquire = async (change: Partial<Parameters<ConnectionController['acquireConnection']>[0]> = {}) => connections.acquireConnection({
		target: getTarget(), limit: 4, maxProofAgeMs: 100, tls: false, silenceLimitMs: Number.POSITIVE_INFINITY, signal: new AbortController().signal, ...change,
	});
	const acquireWell = async (change: Partial<Parameters<ConnectionController['acquireConnection']>[0]> = {}): Promise<TargetConnection> => {
		const acquired = await acquire(change);
		return acquired._unsafeUnwrap();
	};

	it('never opens more than its share, however many ask at once', async () => {
		const results = await Promise.all(Array.from({length: 10}, async () => acquire()));
		expect(results.filter(result => result.isOk())).toHaveLength(4);
		expect(results.find(result => result.isErr())?._unsafeUnwrapErr().kind).toBe(ErrorKind.ConnectionsExhausted);
		expect(connections.countConnections(getTarget())).toBe(4);
	});

	it.each([
		{age: 50, maxProofAgeMs: 100, isReused: true},
		{age: 150, maxProofAgeMs: 100, isReused: false},
		{age: 150, maxProofAgeMs: 30_000, isReused: true},
	])('with a proof $age ms old and $maxProofAgeMs ms allowed, reuse is $isReused', async ({age, maxProofAgeMs, isReused}) => {
		const first = await acquireWell();
		connections.releaseConnection(first);
		now += age;
		expect(await acquireWell({maxProofAgeMs}) === first).toBe(isReused);
	});

	it('drops idle siblings of a silent connection but keeps those proved since, and leaves the silent one in time', async () => {
		const [silent, old, proved] = [await acquireWell(), await acquireWell(), await acquireWell()];
		connections.releaseConnection(silent);
		const used = await acquireWell({silenceLimitMs: 500});
		expect(used).toBe(silent);
		connections.releaseConnection(old);
		now += 1;
		const answer = await proved.sendRequest({
			method: 'GET', path: '/', rawHeaders: [], body: undefined, signal: new AbortController().signal,
		});
		expect(answer.isOk()).toBe(true);
		connections.releaseConnection(proved);
		now += 260;
		connections.checkSilence();
		expect([silent.isClosed, old.isClosed, proved.isClosed]).toEqual([false, true, false]);
		now += 300;
		connections.checkSilence();
		expect(silent.isClosed).toBe(true);
	});

	it('ends the wait with the request and keeps the connection that came late', async () => {
		const gone = new AbortController();
		const waiting = acquire({signal: gone.signal});
		gone.abort(new RequestError(ErrorKind.DeadlineExpiredQueued, 'x'));
		const result = await waiting;
		expect(result._unsafeUnwrapErr().kind).toBe(ErrorKind.DeadlineExpiredQueued);
		await new Promise(resolve => {
			setTimeout(resolve, 50);
		});
		expect(connections.countConnections(getTarget())).toBe(1);
		await acquireWell();
		expect(connections.countConnections(getTarget())).toBe(1);
	});
});

describe('computeConnectionShare', () => {
	it('keeps the whole fleet within the limit', () => {
		fc.assert(fc.property(fc.integer({min: 1, max: 65_536}), fc.integer({min: 1, max: 65_536}), (limit, instances) => {
			expect(computeConnectionShare(limit, instances) * instances).toBeLessThanOrEqual(limit);
		}), {seed: 11});
	});
});
