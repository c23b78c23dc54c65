import type {Socket} from 'node:net';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {EntryFixture} from './support/entry-fixture.js';
import {sendRaw} from './support/send-raw.js';

const refusalResponse = 'HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n';

describe('an entry whose target writes a response twice', () => {
	const executedIds: string[] = [];
	let refusedSocket: Socket | undefined;
	const fixture = new EntryFixture((request, response) => {
		if (refusedSocket === undefined) {
			refusedSocket = request.socket;
			response.writeHead(503, {'x-not-run': '1'}).end();
			return;
		}

		executedIds.push(String(request.headers['x-id']));
		if (request.socket === refusedSocket) {
			request.socket.write(refusalResponse);
		}

		setTimeout(() => {
			response.end('ok');
		}, 20);
	});

	afterEach(() => {
		fixture.dispose();
	});

	it('does not report "not run" for a request when the target writes an earlier refusal again', async () => {
		await fixture.start({}, {notRunRefusals: [{status: 503, header: 'x-not-run', value: '1'}]});
		const sendOrder = async (id: string) => {
			const response = await sendRaw(fixture.dataPort, [`POST /x HTTP/1.1\r\nHost: shop\r\nX-Id: ${id}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`]);
			return response.text.slice(0, 12);
		};

		await expect.poll(async () => await sendOrder('first') === 'HTTP/1.1 503' && refusedSocket !== undefined, {timeout: 5000, interval: 10}).toBe(true);
		expect(await sendOrder('second')).toBe('HTTP/1.1 200');
		expect(executedIds).toContain('second');
	});
});
