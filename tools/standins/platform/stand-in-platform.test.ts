import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {request} from 'undici';
import {PlatformOutage} from './platform-outage.js';
import {StandInPlatform} from './stand-in-platform.js';

describe('the stand-in configuration service', () => {
	let platform: StandInPlatform;
	const read = async (replica = 0, query = '') => {
		try {
			const response = await request(`${platform.urls[replica]}/v1/kv/key${query}`, {headersTimeout: 300});
			const text = await response.body.text();
			const value = response.statusCode === 200 ? (JSON.parse(text) as Array<{Value: string}>)[0]?.Value : undefined;
			return value === undefined ? response.statusCode : Buffer.from(value, 'base64').toString();
		} catch (error) {
			return (error as {code?: string}).code;
		}
	};

	beforeEach(async () => {
		platform = new StandInPlatform(2);
		await platform.start();
		platform.publishValue('key', 'one');
	});
	afterEach(() => {
		platform.dispose();
	});

	it.each([
		{outage: PlatformOutage.Refuse, expected: 'ECONNREFUSED'},
		{outage: PlatformOutage.Hang, expected: 'UND_ERR_HEADERS_TIMEOUT'},
	])('is unavailable by $outage at one replica and available again on the same port', async ({outage, expected}) => {
		await platform.primary.setOutage(outage);
		expect(await read()).toBe(expected);
		expect(await read(1)).toBe('one');
		await platform.primary.setOutage(PlatformOutage.None);
		expect(await read()).toBe('one');
	});

	it('applies its rate limit to all replicas together', async () => {
		platform.setRateLimit(0);
		expect([await read(), await read(1)]).toEqual([429, 429]);
		platform.setRateLimit(1000);
		expect(await read()).toBe('one');
		expect(platform.calls.total).toBe(3);
	});

	it('does not serve a value that is published in the same ms in which it was frozen', async () => {
		platform.primary.setFrozen(true);
		platform.publishValue('key', 'two');
		expect(await read()).toBe('one');
	});

	it('serves a past state when frozen or lagging', async () => {
		await sleep(5);
		platform.primary.setFrozen(true);
		platform.replicas[1]?.setLag(60_000);
		await sleep(5);
		platform.publishValue('key', 'two');
		expect([await read(), await read(1)]).toEqual(['one', 404]);
		platform.primary.setFrozen(false);
		expect(await read()).toBe('two');
	});

	it('responds to a blocking query when the value changes', async () => {
		const first = await request(`${platform.urls[0]}/v1/kv/key`);
		await first.body.dump();
		const watch = read(0, `?index=${String(first.headers['x-consul-index'])}&wait=5000ms`);
		await sleep(20);
		expect(platform.waiting).toBe(1);
		platform.publishValue('key', 'two');
		expect(await watch).toBe('two');
	});
});
