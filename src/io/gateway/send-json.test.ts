import {Agent} from 'node:http';
import {createServer, type AddressInfo, type Server} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {fromPromise} from 'neverthrow';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {sendJson} from './send-json.js';

const timeoutMs = 300;
const agent = new Agent({keepAlive: true});

describe('sendJson', () => {
	let server: Server;

	const call = async (bytes: string, end: 'keep' | 'close' | 'reset') => {
		server = createServer(socket => {
			socket.on('error', () => undefined);
			socket.once('data', () => {
				socket.write(bytes, () => {
					if (end === 'reset') {
						socket.resetAndDestroy();
					} else if (end === 'close') {
						socket.end();
					}
				});
			});
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}/`;
		const sent = fromPromise(sendJson(url, {method: 'GET', agent, timeoutMs}), error => error as Error);
		return Promise.race([sent.map(async response => response.json()), sleep(3 * timeoutMs)]);
	};

	// Guards against a large configuration that never arrives over a slow link, and against a connection that is silent for as long as the largest one takes.
	it.each([
		{
			name: 'keeps arriving', length: 6, pieces: 6, isRead: true, maxMs: 1500,
		},
		{
			name: 'stops arriving', length: 6, pieces: 3, isRead: false, maxMs: 1200,
		},
		{
			name: 'arrives for too long', length: 60, pieces: 60, isRead: false, maxMs: 2500,
		},
	])('with a limit of silence, reads a response that $name: $isRead', async ({length, pieces, isRead, maxMs}) => {
		let timer: NodeJS.Timeout | undefined;
		server = createServer(socket => {
			let sentCount = 0;
			socket.on('error', () => undefined);
			socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${length}\r\n\r\n`);
			timer = setInterval(() => {
				if (sentCount < pieces) {
					socket.write('1');
				}

				sentCount++;
			}, 100);
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		const startedAt = performance.now();
		const sent = await fromPromise(sendJson(`http://127.0.0.1:${(server.address() as AddressInfo).port}/`, {
			method: 'GET', agent, timeoutMs: 1500, silenceMs: 300,
		}), error => error as Error);
		clearInterval(timer);
		expect(sent.isOk()).toBe(isRead);
		expect(performance.now() - startedAt).toBeLessThan(maxMs);
	});

	afterEach(() => {
		server.close();
	});

	it.each([
		['a length', 'HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n{"a":1}', 'keep'],
		['chunks', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7\r\n{"a":1}\r\n0\r\n\r\n', 'keep'],
		['a length and a close', 'HTTP/1.1 200 OK\r\nContent-Length: 7\r\nConnection: close\r\n\r\n{"a":1}', 'close'],
		['a close', 'HTTP/1.1 200 OK\r\n\r\n{"a":1}', 'close'],
	] as const)('parses a response whose body ends by %s', async (_name, bytes, end) => {
		const result = await call(bytes, end);
		expect(result?._unsafeUnwrap()).toEqual({a: 1});
	});

	// Guards against a call that never settles, which stops the loop that waits for it for good.
	it.each([
		['switches protocols', 'HTTP/1.1 101 Any\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n', 'keep'],
		['is informational only', 'HTTP/1.1 103 Any\r\n\r\n', 'keep'],
		['does not come', '', 'keep'],
		['is closed before its head', 'HTTP/1.1 200', 'close'],
		['is closed before its end', 'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{', 'close'],
		['is reset before its end', 'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{', 'reset'],
		['stalls before its end', 'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{', 'keep'],
		['is no HTTP', 'hello\r\n\r\n', 'keep'],
	] as const)('rejects a response that %s', async (_name, bytes, end) => {
		const result = await call(bytes, end);
		expect(result?.isErr()).toBe(true);
	});
});
