import type {ServerResponse} from 'node:http';
import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {EntryFixture} from './support/entry-fixture.js';
import {sendRaw} from './support/send-raw.js';

const spoiledResponses = new Map([
	['/name', 'HTTP/1.1 200 OK\r\nBad Name: x\r\nContent-Length: 2\r\n\r\nok'],
	['/value', 'HTTP/1.1 200 OK\r\nX-A: a\u0001b\r\nContent-Length: 2\r\n\r\nok'],
	['/large', `HTTP/1.1 200 OK\r\nBad Name: x\r\nContent-Length: 900000\r\n\r\n${'a'.repeat(900_000)}`],
	['/none', 'HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\nok'],
	['/switch', 'HTTP/1.1 101 Switching Protocols\r\nContent-Length: 2\r\n\r\nok'],
]);

// Guards against callers that get no response, or a success without its body, when a target spoils some bytes of a head.
describe('an entry instance', () => {
	const fixture = new EntryFixture((request, response: ServerResponse) => {
		const spoiled = spoiledResponses.get(request.url ?? '');
		if (spoiled === undefined) {
			response.end('ok');
		} else {
			request.socket.write(spoiled);
		}
	});

	beforeAll(async () => {
		await fixture.start();
	});

	afterAll(() => {
		fixture.dispose();
	});

	it.each([...spoiledResponses.keys()])('answers 502 with an unknown outcome to a spoiled response, and serves the next request (%s)', async path => {
		const response = await sendRaw(fixture.dataPort, [`POST ${path} HTTP/1.1\r\nHost: shop\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`]);
		expect(response.text).toMatch(/^HTTP\/1\.1 502 /v);
		expect(response.text).toContain('rattansill-outcome: unknown');
		const next = await sendRaw(fixture.dataPort, ['GET /x HTTP/1.1\r\nHost: shop\r\nConnection: close\r\n\r\n']);
		expect(next.text).toMatch(/^HTTP\/1\.1 200 /v);
	});
});
