import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import fc from 'fast-check';
import {
	afterEach, beforeEach, describe, expect, it, vi,
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
	const acquire = async (overrides: Partial<Parameters<ConnectionController['acquireConnection']>[0]> = {}) => connections.acquireConnection({
		target: overrides.target ?? getTarget(), limit: 4, maxReceiveAgeMs: 100, tls: false, inactivityTimeoutMs: Number.POSITIVE_INFINITY, signal: new AbortController().signal, ...overrides,
	});
	const acquireOrThrow = async (overrides: Partial<Parameters<ConnectionController['acquireConnection']>[0]> = {}): Promise<TargetConnection> => {
		const acquired = await acquire(overrides);
		return acquired._unsafeUnwrap();
	};

	it('never opens more connections than its limit, however many are requested at the same time', async () => {
		const results = await Promise.all(Array.from({length: 10}, async () => acquire()));
		expect(results.filter(result => result.isOk())).toHaveLength(4);
		expect(results.find(result => result.isErr())?._unsafeUnwrapErr().kind).toBe(ErrorKind.ConnectionsExhausted);
		expect(connections.countConnections(getTarget())).toBe(4);
	});

	it.each([
		{age: 50, maxAgeMs: 100, isReused: true},
		{age: 150, maxAgeMs: 100, isReused: false},
		{age: 150, maxAgeMs: 30_000, isReused: true},
	])('with data last received $age ms ago and $maxAgeMs ms allowed, reuse is $isReused', async ({age, maxAgeMs, isReused}) => {
		const first = await acquireOrThrow();
		connections.releaseConnection(first);
		now += age;
		expect(await acquireOrThrow({maxReceiveAgeMs: maxAgeMs}) === first).toBe(isReused);
	});

	it('closes idle connections beside an inactive one, except those active since, and closes the inactive one after its timeout', async () => {
		const [inactive, old, active] = [await acquireOrThrow(), await acquireOrThrow(), await acquireOrThrow()];
		connections.releaseConnection(inactive);
		const used = await acquireOrThrow({inactivityTimeoutMs: 500});
		expect(used).toBe(inactive);
		connections.releaseConnection(old);
		now += 1;
		const response = await active.sendRequest({
			method: 'GET', path: '/', rawHeaders: [], body: undefined, signal: new AbortController().signal,
		});
		expect(response.isOk()).toBe(true);
		connections.releaseConnection(active);
		now += 260;
		connections.checkInactivity();
		expect([inactive.isClosed, old.isClosed, active.isClosed]).toEqual([false, true, false]);
		now += 300;
		connections.checkInactivity();
		expect(inactive.isClosed).toBe(true);
	});

	it('opens a few connections at a time and serves a burst with those released', async () => {
		const burst = Array.from({length: 12}, async () => acquire({limit: 12}));
		expect(connections.countConnections(getTarget())).toBe(4);
		const released = new Set<TargetConnection>();
		for (const waiting of burst) {
			const acquired = await waiting;
			const connection = acquired._unsafeUnwrap();
			released.add(connection);
			connections.releaseConnection(connection);
		}

		expect(released.size).toBeLessThan(12);
	});

	it('fails all requests that waited for a connection that could not be opened', async () => {
		const target = getTarget();
		await new Promise(resolve => {
			server.close(resolve);
		});
		const results = await Promise.all(Array.from({length: 12}, async () => acquire({target, limit: 12})));
		expect(results.map(result => result._unsafeUnwrapErr().kind)).toEqual(Array.from({length: 12}, () => ErrorKind.ConnectFailed));
		// The first failure fails all requests; the concurrent openings end a moment later.
		await vi.waitFor(() => {
			expect(connections.countConnections(target)).toBe(0);
		});
	});

	it('hands a released connection only to a request that accepts the age of its last received data', async () => {
		const old = await acquireOrThrow();
		now += 150;
		const waiting = acquireOrThrow({maxReceiveAgeMs: 100});
		connections.releaseConnection(old);
		expect(await waiting).not.toBe(old);
	});

	it('ends the wait when the request is aborted and keeps the connection that opens afterwards', async () => {
		const abortController = new AbortController();
		const waiting = acquire({signal: abortController.signal});
		abortController.abort(new RequestError(ErrorKind.DeadlineExpiredQueued, 'x'));
		const result = await waiting;
		expect(result._unsafeUnwrapErr().kind).toBe(ErrorKind.DeadlineExpiredQueued);
		await new Promise(resolve => {
			setTimeout(resolve, 50);
		});
		expect(connections.countConnections(getTarget())).toBe(1);
		await acquireOrThrow();
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
