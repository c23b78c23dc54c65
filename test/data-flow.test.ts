import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {request as httpRequest, type IncomingMessage, type ServerResponse} from 'node:http';
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {DaemonBench} from './support/daemon-bench.js';

const chunk = Buffer.alloc(65_536, 'x');
const wholeBytes = 64 * 1024 * 1024;

/** Waits until a condition holds; ends by itself so that a failing test says what was missing. */
const waitUntil = async (condition: () => boolean) => {
	for (let round = 0; round < 500 && !condition(); round++) {
		await sleep(10);
	}
};

describe('streams between caller and target', () => {
	let sentBytes = 0;
	let receivedBytes = 0;
	let cancelled = 0;
	let isHolding = true;

	const sendLarge = async (response: ServerResponse) => {
		while (sentBytes < wholeBytes) {
			sentBytes += chunk.length;
			if (!response.write(chunk)) {
				await once(response, 'drain');
			}
		}

		response.end();
	};

	const receiveLarge = async (request: IncomingMessage, response: ServerResponse) => {
		// The target reads nothing until the test lets it.
		await waitUntil(() => !isHolding);
		request.on('data', (part: Uint8Array) => {
			receivedBytes += part.length;
		});
		request.once('end', () => {
			response.end('done');
		});
	};

	const bench = new DaemonBench((request, response) => {
		response.once('close', () => {
			cancelled += response.writableFinished ? 0 : 1;
		});
		if (request.url === '/large') {
			void sendLarge(response);
		} else if (request.url === '/upload') {
			void receiveLarge(request, response);
		}
	});

	beforeAll(async () => {
		await bench.start({limits: {bodyBytes: wholeBytes}}, {
			rules: [{
				name: 'any', methods: [], pathPrefix: '/', idempotent: false, class: 'booking', size: 'short', deadlineMs: 30_000,
			}],
		});
	});
	afterAll(() => {
		bench.dispose();
	});

	it('holds the target back while the caller does not read, then delivers every byte', async () => {
		const request = httpRequest({port: bench.dataPort, path: '/large', headers: {host: 'shop'}});
		request.end();
		const [answer] = await once(request, 'response') as [IncomingMessage];
		let held = -1;
		while (held !== sentBytes) {
			held = sentBytes;
			await sleep(200);
		}

		expect(held).toBeLessThan(wholeBytes / 2);
		let bytes = 0;
		for await (const part of answer) {
			bytes += (part as Uint8Array).length;
		}

		expect(bytes).toBe(wholeBytes);
	});

	it('holds the caller back while the target does not read, then delivers every byte', async () => {
		const request = httpRequest({
			port: bench.dataPort, path: '/upload', method: 'POST', headers: {host: 'shop'},
		});
		const answered = once(request, 'response') as Promise<[IncomingMessage]>;
		let written = 0;
		const write = async () => {
			while (written < wholeBytes) {
				written += chunk.length;
				if (!request.write(chunk)) {
					await once(request, 'drain');
				}
			}

			request.end();
		};

		const writing = write();
		let held = -1;
		while (held !== written) {
			held = written;
			await sleep(200);
		}

		expect(held).toBeLessThan(wholeBytes / 2);
		isHolding = false;
		await writing;
		const [answer] = await answered;
		answer.resume();
		expect(answer.statusCode).toBe(200);
		expect(receivedBytes).toBe(wholeBytes);
	});

	it.each([
		{name: 'while it waits for the answer', requests: ['GET /never HTTP/1.1\r\nHost: shop\r\n\r\n']},
		{name: 'with pipelined requests', requests: ['GET /never HTTP/1.1\r\nHost: shop\r\n\r\n', 'GET /never HTTP/1.1\r\nHost: shop\r\n\r\n']},
		{name: 'amid its own body', requests: ['POST /never HTTP/1.1\r\nHost: shop\r\nContent-Length: 10\r\n\r\nabc']},
	])('cancels the work at the target when the caller leaves $name', async ({requests}) => {
		const before = cancelled;
		const socket = connect({port: bench.dataPort, host: '127.0.0.1'});
		socket.write(requests.join(''));
		await sleep(100);
		socket.destroy();
		await waitUntil(() => cancelled === before + requests.length);
		expect(cancelled).toBe(before + requests.length);
	});
});
