import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {request as httpRequest, type IncomingMessage, type ServerResponse} from 'node:http';
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {EntryFixture} from './support/entry-fixture.js';

const chunk = Buffer.alloc(65_536, 'x');
const totalBytes = 64 * 1024 * 1024;

/** Waits until a condition holds, 5 s at most, so that a failing test ends in its own assertion instead of a timeout. */
const waitUntil = async (condition: () => boolean) => {
	for (let round = 0; round < 500 && !condition(); round++) {
		await sleep(10);
	}
};

describe('streaming between caller and target', () => {
	let sentBytes = 0;
	let receivedBytes = 0;
	let cancelledCount = 0;
	let isTargetPaused = true;

	const sendLarge = async (response: ServerResponse) => {
		while (sentBytes < totalBytes) {
			sentBytes += chunk.length;
			if (!response.write(chunk)) {
				await once(response, 'drain');
			}
		}

		response.end();
	};

	const receiveLarge = async (request: IncomingMessage, response: ServerResponse) => {
		// The target does not read before the test resumes it.
		await waitUntil(() => !isTargetPaused);
		request.on('data', (part: Uint8Array) => {
			receivedBytes += part.length;
		});
		request.once('end', () => {
			response.end('done');
		});
	};

	const fixture = new EntryFixture((request, response) => {
		response.once('close', () => {
			cancelledCount += response.writableFinished ? 0 : 1;
		});
		if (request.url === '/large') {
			void sendLarge(response);
		} else if (request.url === '/upload') {
			void receiveLarge(request, response);
		}
	});

	beforeAll(async () => {
		await fixture.start({limits: {bodyBytes: totalBytes}}, {
			rules: [{
				name: 'any', methods: [], pathPrefix: '/', idempotent: false, class: 'booking', size: 'short', deadlineMs: 30_000,
			}],
		});
	});
	afterAll(() => {
		fixture.dispose();
	});

	it('applies backpressure to the target while the caller does not read, then delivers every byte', async () => {
		const request = httpRequest({port: fixture.dataPort, path: '/large', headers: {host: 'shop'}});
		request.end();
		const [response] = await once(request, 'response') as [IncomingMessage];
		let bufferedBytes = -1;
		while (bufferedBytes !== sentBytes) {
			bufferedBytes = sentBytes;
			await sleep(200);
		}

		expect(bufferedBytes).toBeLessThan(totalBytes / 2);
		let bytes = 0;
		for await (const part of response) {
			bytes += (part as Uint8Array).length;
		}

		expect(bytes).toBe(totalBytes);
	});

	it('applies backpressure to the caller while the target does not read, then delivers every byte', async () => {
		const request = httpRequest({
			port: fixture.dataPort, path: '/upload', method: 'POST', headers: {host: 'shop'},
		});
		const responseReceived = once(request, 'response') as Promise<[IncomingMessage]>;
		let writtenBytes = 0;
		const writeBody = async () => {
			while (writtenBytes < totalBytes) {
				writtenBytes += chunk.length;
				if (!request.write(chunk)) {
					await once(request, 'drain');
				}
			}

			request.end();
		};

		const writing = writeBody();
		let bufferedBytes = -1;
		while (bufferedBytes !== writtenBytes) {
			bufferedBytes = writtenBytes;
			await sleep(200);
		}

		expect(bufferedBytes).toBeLessThan(totalBytes / 2);
		isTargetPaused = false;
		await writing;
		const [response] = await responseReceived;
		response.resume();
		expect(response.statusCode).toBe(200);
		expect(receivedBytes).toBe(totalBytes);
	});

	it.each([
		{name: 'while it waits for the response', requests: ['GET /never HTTP/1.1\r\nHost: shop\r\n\r\n']},
		{name: 'with pipelined requests', requests: ['GET /never HTTP/1.1\r\nHost: shop\r\n\r\n', 'GET /never HTTP/1.1\r\nHost: shop\r\n\r\n']},
		{name: 'before it has sent its whole body', requests: ['POST /never HTTP/1.1\r\nHost: shop\r\nContent-Length: 10\r\n\r\nabc']},
	])('cancels the request at the target when the caller disconnects $name', async ({requests}) => {
		const before = cancelledCount;
		const socket = connect({port: fixture.dataPort, host: '127.0.0.1'});
		socket.write(requests.join(''));
		await sleep(100);
		socket.destroy();
		await waitUntil(() => cancelledCount === before + requests.length);
		expect(cancelledCount).toBe(before + requests.length);
	});
});
