import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {EntryFixture} from './support/entry-fixture.js';
import {sendRaw} from './support/send-raw.js';

const head = 'Host: shop\r\nConnection: close\r\n';

// Guards against a caller that ends the process by a request target that cannot be parsed as a URL.
describe('the listeners of an entry instance', () => {
	const fixture = new EntryFixture((_request, response) => {
		response.end();
	});

	beforeAll(async () => {
		await fixture.start();
	});

	afterAll(() => {
		fixture.dispose();
	});

	it.each([
		['routePort', '//', 404],
		['routePort', 'http://h:99999/routes/shop', 404],
		['routePort', '/routes/%zz?domain=%E0%A4%A', 404],
		['routePort', '/routes/shop?domain=a', 200],
		['operatorPort', '//', 200],
		['peerPort', '//', 426],
	] as const)('answer on %s to the target %s', async (port, target, status) => {
		const response = await sendRaw(fixture[port], [`GET ${target} HTTP/1.1\r\n${head}\r\n`]);
		expect(response.text).toMatch(new RegExp(`^HTTP/1.1 ${status} `, 'v'));
	});
});
