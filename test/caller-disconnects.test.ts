import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterAll, beforeAll, describe, expect, it, vi,
} from 'vitest';
import {EntryFixture} from './support/entry-fixture.js';
import {disconnectBeforePause} from './support/disconnect-before-pause.js';
import {DisconnectKind} from './support/disconnect-kind.js';
import {sendRaw} from './support/send-raw.js';

describe('an entry whose callers disconnect', () => {
	const executedIds: string[] = [];
	const cancelledIds: string[] = [];
	const fixture = new EntryFixture((request, response) => {
		const id = String(request.headers['x-id']);
		executedIds.push(id);
		response.once('close', () => {
			if (!response.writableFinished) {
				cancelledIds.push(id);
			}
		});
		setTimeout(() => {
			response.end('ok');
		}, request.url === '/slow' ? 1000 : 0);
	});

	const createRequestHead = (method: string, path: string, id: string) => `${method} ${path} HTTP/1.1\r\nhost: shop\r\nx-id: ${id}\r\ncontent-length: 0\r\n\r\n`;

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

	it.each(Object.values(DisconnectKind))('cancels requests at a target when their callers disconnect (%s)', async leaving => {
		const ids = ['a', 'b', 'c'].map(id => `${leaving}-${id}`);
		await disconnectBeforePause({
			port: fixture.dataPort, requests: ids.map(id => createRequestHead('POST', '/slow', id)), leaving, disconnectDelayMs: 100, pauseMs: 0,
		});
		await sleep(200);
		expect(cancelledIds.filter(id => ids.includes(id)).toSorted()).toEqual(ids);
	});

	it('forwards no request whose caller disconnected while the process was blocked', async () => {
		executedIds.length = 0;
		for (const leaving of Object.values(DisconnectKind)) {
			for (const [method, pauseMs] of [['GET', 100], ['POST', 100], ['GET', 700], ['POST', 700]] as const) {
				await disconnectBeforePause({
					port: fixture.dataPort, requests: Array.from({length: 10}, (_item, index) => createRequestHead(method, '/x', `${leaving}-${method}-${pauseMs}-${index}`)), leaving, pauseMs,
				});
				await sleep(200);
			}
		}

		expect(executedIds.filter(id => id !== 'undefined')).toEqual([]);
	});
});
