import type {IncomingMessage, ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {openRawConnection} from '../../test/support/open-raw-connection.js';
import {silentLogger} from '../../test/support/silent-logger.js';
import type {HttpListener} from '../io/http-listener.js';
import {createTrackedListener} from './create-tracked-listener.js';

const headersTimeoutMs = 500;
const handlingMs = 1000;
/** Longer than the timeout and the interval at which connections are checked, so that the check is due when the process goes on. */
const pauseMs = 900;

const createRequest = (path: string): string => `GET ${path} HTTP/1.1\r\nHost: h\r\n\r\n`;

describe('createTrackedListener', () => {
	const handled: string[] = [];
	let listener: HttpListener;

	const handleRequest = async ({url = ''}: IncomingMessage, response: ServerResponse) => {
		handled.push(url);
		await sleep(url === '/slow' ? handlingMs : 1);
		response.end(`handled ${url}`);
	};

	const waitFor = async (condition: () => boolean) => {
		await expect.poll(condition, {timeout: 5000, interval: 10}).toBe(true);
	};

	beforeEach(async () => {
		handled.length = 0;
		listener = createTrackedListener({headersTimeout: headersTimeoutMs, connectionsCheckingInterval: 50}, handleRequest, silentLogger);
		await listener.listen({host: '127.0.0.1', port: 0});
	});
	afterEach(() => {
		listener.dispose();
	});

	// Guards against a 408, "not run", to a request that waits in its socket after a pause of the process.
	it.each([
		['on a new connection', '', 0, ['/next']],
		['with part of its head sent', '', 10, ['/next']],
		['on a kept connection', createRequest('/first'), 10, ['/first', '/next']],
		['behind a request in progress', createRequest('/slow'), 10, ['/slow', '/next']],
	])('handles a request %s after a pause of the process', async (_name, first, begunLength, paths) => {
		const connection = await openRawConnection(listener.port, true);
		const next = createRequest('/next');
		connection.write(first);
		await waitFor(() => handled.length === paths.length - 1 && (first === '' || paths[0] === '/slow' || connection.received.includes('handled')));
		connection.write(next.slice(0, begunLength));
		await sleep(20);
		connection.write(next.slice(begunLength));
		Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, pauseMs);
		await waitFor(() => connection.received.includes('handled /next') || connection.isEnded);
		expect(handled).toEqual(paths);
		expect(connection.received).not.toContain('HTTP/1.1 4');
		connection.destroy();
	});

	// Guards against a request that is handled although its connection was answered 408, "not run".
	it.each([
		['on a new connection', 0],
		['with part of its head sent', 10],
	])('handles no request %s once it has refused the connection', async (_name, begunLength) => {
		const connection = await openRawConnection(listener.port, true);
		const late = createRequest('/late');
		connection.write(late.slice(0, begunLength));
		await waitFor(() => connection.received.includes('HTTP/1.1 408 '));
		connection.write(late.slice(begunLength));
		await sleep(100);
		expect(handled).toEqual([]);
		connection.destroy();
	});

	// Guards against an answer, "not run", in place of the one to a request that is being handled.
	it.each([
		['malformed', 'NONSENSE\r\n\r\n'],
		['not sent in time', 'GET /late HTTP/1.1\r\n'],
	])('answers a request in progress when the one behind it is %s', async (_name, behind) => {
		const connection = await openRawConnection(listener.port);
		connection.write(createRequest('/slow') + behind);
		await connection.closed;
		expect(connection.received.match(/^HTTP\/1.1 \d+/gmv)).toEqual(['HTTP/1.1 200']);
		expect(connection.received).toContain('handled /slow');
		expect(handled).toEqual(['/slow']);
	});
});
