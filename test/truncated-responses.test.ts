import {request as openRequest} from 'node:http';
import {
	afterAll, beforeAll, describe, expect, it, vi,
} from 'vitest';
import {EntryFixture} from './support/entry-fixture.js';
import {sendRaw} from './support/send-raw.js';

const head = 'HTTP/1.1 200 OK\r\nX-A: b\r\n';

describe('an entry whose target closes or resets the connection within a response', () => {
	let rawResponse = '';
	const fixture = new EntryFixture((request, response) => {
		const truncateAt = request.headers['x-cut'];
		if (truncateAt === undefined) {
			response.end('ok');
			return;
		}

		request.socket.write(rawResponse.slice(0, Number(truncateAt)), () => {
			if (request.headers['x-end'] === 'reset') {
				request.socket.resetAndDestroy();
			} else {
				request.socket.end();
			}
		});
	});

	/** Sends a POST and resolves with the status of a complete response, else with undefined. */
	const sendOrder = async (truncateAt: number, end: string): Promise<number | undefined> => new Promise(resolve => {
		const request = openRequest({
			host: '127.0.0.1', port: fixture.dataPort, method: 'POST', path: '/x', agent: false, headers: {host: 'shop', 'x-cut': String(truncateAt), 'x-end': end},
		}, response => {
			response.on('error', () => undefined);
			response.once('close', () => {
				resolve(response.complete ? response.statusCode : undefined);
			});
			response.resume();
		});
		request.on('error', () => {
			resolve(undefined);
		});
		request.end();
	});

	beforeAll(async () => {
		await fixture.start();
		await vi.waitFor(async () => {
			const response = await sendRaw(fixture.dataPort, ['GET /x HTTP/1.1\r\nHost: shop\r\nConnection: close\r\n\r\n']);
			expect(response.text.slice(0, 12)).toBe('HTTP/1.1 200');
		}, {timeout: 5000});
	});
	afterAll(() => {
		fixture.dispose();
	});

	it.each([
		['a length', `${head}Content-Length: 2\r\n\r\nok`],
		['informational responses before it', `HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n${head}Content-Length: 2\r\n\r\nok`],
		['chunks with extensions and trailers', `${head}Transfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n2;a=b\r\nok\r\n0;a=b\r\nX-T: c\r\n\r\n`],
		['a body until close, within its head', `${head}X-B: c\r\n\r\n`],
	])('delivers no response with %s as complete that was truncated at any byte', async (_name, response) => {
		rawResponse = response;
		const acceptedTruncations: string[] = [];
		for (const end of ['close', 'reset']) {
			for (let truncateAt = 0; truncateAt < response.length; truncateAt++) {
				const status = await sendOrder(truncateAt, end);
				if (status !== undefined && status < 300) {
					acceptedTruncations.push(`${end} ${truncateAt}`);
				}
			}
		}

		expect(acceptedTruncations).toEqual([]);
	});
});
