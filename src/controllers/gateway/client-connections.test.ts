import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {createServer, type Socket} from 'node:net';
import {PassThrough} from 'node:stream';
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {ClientConnections} from './client-connections.js';

class FakeSocket extends PassThrough {
	bytesRead = 0;
	bytesWritten = 0;
	isDestroyed = false;

	override destroy(): this {
		this.isDestroyed = true;
		setTimeout(() => this.emit('close'), 0);
		return this;
	}
}

const limits = {memoryBytes: 100_000, connections: 4, requestsPerConnection: 2};
/** Time after which a connection without progress counts as stalled, in ms. */
const stallMs = 1500;

describe('ClientConnections', () => {
	const counts: string[] = [];
	let server = createServer();
	let residentBytes = 0;
	let clients: ClientConnections;

	const connect = (): FakeSocket & Socket => {
		const socket = new FakeSocket() as unknown as FakeSocket & Socket;
		server.emit('connection', socket);
		return socket;
	};

	const sendRequest = (socket: Socket, isComplete = true) => {
		const request = Object.assign(new PassThrough(), {socket, rawHeaders: [], complete: isComplete}) as unknown as IncomingMessage;
		const response = Object.assign(new PassThrough(), {shouldKeepAlive: true}) as unknown as ServerResponse;
		server.emit('request', request, response);
		return {request, response};
	};

	beforeEach(() => {
		vi.useFakeTimers();
		counts.length = 0;
		residentBytes = 0;
		server = createServer();
		clients = new ClientConnections({
			limits,
			processLimitBytes: 1_000_000,
			residentMemory: {
				get bytes() {
					return residentBytes;
				},
			},
			countOtherBytes: () => 0,
			metrics: {
				countEvent(name, tags) {
					counts.push(`${name} ${tags?.cause ?? ''}`);
				},
				recordGauge: () => undefined,
				recordDuration: () => undefined,
			},
			logger: {logError: () => undefined},
		});
		clients.watch(server as Server, () => 1000);
	});

	afterEach(() => {
		clients.dispose();
		vi.useRealTimers();
	});

	// Guards against stalled bodies that keep their memory while others are refused.
	it('closes the stalled connection that holds most, and gives its memory to others in the next turn', () => {
		const [first, second, third] = [connect(), connect(), connect()] as const;
		expect([clients.take(first, 30_000), clients.take(second, 60_000)]).toEqual([true, true]);
		vi.advanceTimersByTime(stallMs);
		expect(clients.take(third, 20_000)).toBe(false);
		expect([first.isDestroyed, second.isDestroyed]).toEqual([false, true]);
		vi.advanceTimersByTime(0);
		expect(clients.take(third, 20_000)).toBe(true);
		expect(counts).toEqual(['client.closed memory', 'client.refused memory']);
	});

	// Guards against sound requests that are cut for others.
	it.each([
		['sends', (socket: FakeSocket) => {
			socket.bytesRead += 1000;
		}],
		['reads', (socket: FakeSocket) => {
			socket.bytesWritten += 1000;
		}],
	])('does not close a connection that %s', (_name, advance) => {
		const [first, second] = [connect(), connect()] as const;
		clients.take(first, 90_000);
		for (let count = 0; count < 10; count++) {
			advance(first);
			vi.advanceTimersByTime(200);
		}

		expect(clients.take(second, 20_000)).toBe(false);
		expect(first.isDestroyed).toBe(false);
	});

	it('does not close a connection whose request waits for its response', () => {
		const [first, second] = [connect(), connect()] as const;
		const {request, response} = sendRequest(first);
		expect(clients.admit(request, response)).toBe(true);
		clients.take(first, 70_000);
		vi.advanceTimersByTime(stallMs);
		expect(clients.take(second, 40_000)).toBe(false);
		expect(first.isDestroyed).toBe(false);
	});

	it('closes stalled connections for new ones, and refuses new ones while there are none', () => {
		const sockets = Array.from({length: 5}, () => connect());
		expect(sockets.map(({isDestroyed}) => isDestroyed)).toEqual([false, false, false, false, true]);
		vi.advanceTimersByTime(stallMs);
		expect(connect().isDestroyed).toBe(false);
		expect(counts).toEqual(['client.refused connections', 'client.closed connections']);
	});

	it('closes a connection with too many requests in progress, and handles none that follow', () => {
		const socket = connect();
		const admitted = Array.from({length: 4}, () => {
			const {request, response} = sendRequest(socket);
			return clients.admit(request, response);
		});
		expect(admitted).toEqual([true, true, false, false]);
		expect(socket.isDestroyed).toBe(true);
	});

	it('closes a connection that sends on after its request was answered', () => {
		const socket = connect();
		const {response} = sendRequest(socket, false);
		response.emit('finish');
		socket.bytesRead = 1000;
		vi.advanceTimersByTime(300);
		expect(socket.isDestroyed).toBe(false);
		socket.bytesRead = 1001;
		vi.advanceTimersByTime(300);
		expect(socket.isDestroyed).toBe(true);
	});

	it('refuses large bodies while much memory is resident, and takes all memory back when connections close', () => {
		const socket = connect();
		residentBytes = 900_000;
		expect([clients.take(socket, 30_000), clients.take(socket, 10_000)]).toEqual([false, true]);
		clients.take(connect(), 15_000);
		// Guards against small requests that are refused for what others hold.
		expect(clients.take(connect(), 4000)).toBe(true);
		residentBytes = 0;
		socket.destroy();
		vi.advanceTimersByTime(0);
		expect(clients.totalFreeBytes).toBe(limits.memoryBytes - 19_000);
	});

	// Guards against large bodies that leave no memory for the requests of peers and ordinary callers.
	it('keeps memory that only small requests take', () => {
		const [first, second] = [connect(), connect()] as const;
		expect([clients.take(first, 98_000), clients.take(first, 95_000), clients.take(second, 4000)]).toEqual([false, true, true]);
	});
});
