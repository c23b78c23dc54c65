import type {IncomingMessage, ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {EntryFixture} from './support/entry-fixture.js';
import {openRawConnection} from './support/open-raw-connection.js';

const headersTimeoutMs = 800;
/** Time in which a request that was read is run, in ms. */
const settleMs = 300;
const serviceTimeMs = 2400;
/** Longer than the timeouts and the interval at which connections are checked, so that the check is due when the process goes on. */
const pauseMs = 1800;

type ConnectionCase = {
	readonly name: string;
	/** Path of a request that is sent first, on the same connection. */
	readonly first?: string;
	/** Whether the first request is still in progress when the next one begins. */
	readonly isFirstInProgress?: boolean;
	/** What is sent of the late requests in time. */
	readonly begun: string;
	/** What is sent of them too late. */
	readonly late: string;
	/** What the caller is told of the first late request; nothing if undefined. */
	readonly outcome?: 'not run' | 'unknown';
};

const createRequest = (path: string): string => `POST ${path} HTTP/1.1\r\nHost: shop\r\nContent-Length: 5\r\n\r\norder`;

const cases: readonly ConnectionCase[] = [
	{
		name: 'on a new connection', begun: '', late: createRequest('/new'), outcome: 'not run',
	},
	{
		name: 'with part of its head sent', begun: 'POST /part HTTP/1.1\r\n', late: createRequest('/part').slice(21), outcome: 'not run',
	},
	{
		name: 'on a kept connection', first: '/earlier', begun: 'POST /kept HTTP/1.1\r\n', late: createRequest('/kept').slice(21), outcome: 'not run',
	},
	{
		name: 'with another one sent ahead', begun: '', late: createRequest('/ahead') + createRequest('/behind'), outcome: 'not run',
	},
	{
		name: 'with part of its body sent, and another one behind it', begun: createRequest('/body').slice(0, -2), late: `er${createRequest('/next')}`, outcome: 'unknown',
	},
	{
		name: 'behind a request in progress', first: '/slow', isFirstInProgress: true, begun: 'POST /second HTTP/1.1\r\n', late: createRequest('/second').slice(23),
	},
];

describe('the data listener of an entry', () => {
	const ran: string[] = [];
	const handleRequest = async (request: IncomingMessage, response: ServerResponse) => {
		ran.push(request.url ?? '');
		await sleep(request.url === '/slow' ? serviceTimeMs : 1);
		response.end(`ran ${request.url}`);
	};

	const fixture = new EntryFixture((request, response) => {
		request.resume();
		request.once('end', () => {
			void handleRequest(request, response);
		});
	});

	const waitFor = async (condition: () => boolean) => {
		await expect.poll(condition, {timeout: 5000, interval: 10}).toBe(true);
	};

	beforeAll(async () => {
		await fixture.start({limits: {headersTimeoutMs, requestTimeoutMs: 2 * headersTimeoutMs}});
	});
	afterAll(() => {
		fixture.dispose();
	});

	/** Opens a connection of a caller that leaves its side open, and sends what arrives in time. */
	const openConnection = async ({first, isFirstInProgress = false, begun}: ConnectionCase) => {
		ran.length = 0;
		const connection = await openRawConnection(fixture.dataPort, true);
		if (first !== undefined) {
			connection.write(createRequest(first));
			await waitFor(() => isFirstInProgress ? ran.includes(first) : connection.received.includes(`ran ${first}`));
		}

		connection.write(begun);
		return connection;
	};

	// Guards against a request that is run although its connection was answered 408, "not run": the answered connection was read on.
	it.each(cases)('does not run a request $name once it has refused the connection', async connectionCase => {
		const {first, isFirstInProgress = false, late, outcome} = connectionCase;
		const connection = await openConnection(connectionCase);
		await (isFirstInProgress ? sleep(2 * headersTimeoutMs) : waitFor(() => connection.received.includes('HTTP/1.1 408 ')));
		connection.write(late);
		await sleep(settleMs);
		await waitFor(() => connection.isEnded);
		expect(ran).toEqual(first === undefined ? [] : [first]);
		expect(connection.received.includes(`ran ${first}`)).toBe(first !== undefined);
		expect(/rattansill-outcome: (?<outcome>[a-z ]+)/v.exec(connection.received)?.groups?.outcome).toBe(outcome);
		connection.destroy();
	});

	// Guards against a refusal of requests that had arrived while the process was paused, whose timers run before it reads its sockets.
	it.each(cases)('serves a request $name that is late because the process was paused', async connectionCase => {
		const {first = '', begun, late} = connectionCase;
		const connection = await openConnection(connectionCase);
		await sleep(50);
		connection.write(late);
		Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, pauseMs);
		const paths = [...(first + begun + late).matchAll(/(?:POST |^)(?<path>\/[a-z]+)/gv)].map(({groups}) => groups?.path ?? '');
		await waitFor(() => connection.received.includes(`ran ${paths.at(-1)}`) || connection.isEnded);
		expect([...connection.received.matchAll(/ran (?<path>\/[a-z]+)/gv)].map(({groups}) => groups?.path)).toEqual(paths);
		expect(ran.toSorted()).toEqual(paths.toSorted());
		connection.destroy();
	});

	// Guards against an answer, "not run", in place of the one to a request that runs.
	it('answers a request in progress, and not the CONNECT behind it', async () => {
		ran.length = 0;
		const connection = await openRawConnection(fixture.dataPort);
		connection.write(`${createRequest('/slow')}CONNECT shop:80 HTTP/1.1\r\nHost: shop\r\n\r\n${createRequest('/behind')}`);
		await connection.closed;
		expect(connection.received.match(/^HTTP\/1.1 \d+/gmv)).toEqual(['HTTP/1.1 200']);
		expect(connection.received).toContain('ran /slow');
		expect(ran).toEqual(['/slow']);
	});
});
