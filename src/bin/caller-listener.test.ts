import type {IncomingMessage, ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {err} from 'neverthrow';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {ErrorKind} from '../common/error-kind.js';
import {RequestError} from '../common/request-error.js';
import {CallerConnections} from '../controllers/caller-connections.js';
import type {GatewayContext} from '../filters/gateway/gateway-context.js';
import {writeProblem} from '../io/write-problem.js';
import {openRawConnection} from '../../test/support/open-raw-connection.js';
import {silentLogger} from '../../test/support/silent-logger.js';
import {CallerListener} from './caller-listener.js';

/** Time in which what was sent has been read, in ms. */
const readMs = 200;

const createRequest = (path: string, body = ''): string => `POST ${path} HTTP/1.1\r\nHost: h\r\nContent-Length: ${body.length}\r\n\r\n${body}`;

describe('CallerListener', () => {
	const running = new Map<string, GatewayContext>();
	let listener: CallerListener;

	beforeEach(async () => {
		running.clear();
		listener = new CallerListener({
			chain: {
				async run(context: GatewayContext) {
					running.set(context.request.url ?? '', context);
					return err(new RequestError(ErrorKind.Overloaded, 'the test responds'));
				},
			},
			connections: new CallerConnections(16_384, silentLogger),
			clients: {
				admit(request: IncomingMessage, response: ServerResponse) {
					if (request.url === '/refused') {
						writeProblem({request, response}, new RequestError(ErrorKind.Overloaded, 'no memory'));
					}

					return request.url !== '/refused';
				},
			},
			intake: {noteConnection: () => undefined},
			pauseWatch: {estimateArrival: () => 0},
			readTracker: {recordRead: () => 0},
			requestIdHeader: 'id',
			logger: silentLogger,
		});
		await listener.listener.listen({host: '127.0.0.1', port: 0});
	});
	afterEach(() => {
		listener.dispose();
	});

	// Guards against a request that is run although the connection closes before its response: the refusal before it was known to the account of memory only.
	it.each([
		['with its body', createRequest('/refused', 'order'), ''],
		['before the rest of its body', createRequest('/refused', 'order').slice(0, -1), 'r'],
	])('runs no request behind one that is refused for lack of memory %s', async (_name, refused, rest) => {
		const connection = await openRawConnection(listener.listener.port);
		connection.write(createRequest('/first') + refused);
		await expect.poll(() => running.has('/first')).toBe(true);
		connection.write(rest + createRequest('/behind') + createRequest('/last'));
		await sleep(readMs);
		running.get('/first')?.response.end('done');
		await expect.poll(() => connection.received).toContain('rattansill-outcome: not run');
		expect([...running.keys()]).toEqual(['/first']);
	});
});
