import {Buffer} from 'node:buffer';
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, describe, expect, it, vi,
} from 'vitest';
import {createUnlimitedHold} from '../../../test/support/create-unlimited-hold.js';
import {TargetClient} from './target-client.js';

const head = 'HTTP/1.1 200 OK\r\nX-Id: a\r\n';
const maxResponseBytes = 1_000_000;

/** Blocks the event loop, so that data and the end of a connection are read together. */
const blockReading = (ms: number): void => {
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
};

describe('TargetClient', () => {
	let server: Server | undefined;

	const listen = async (handle: (socket: Socket, count: number) => void): Promise<TargetClient> => {
		let count = 0;
		const created = createServer(socket => {
			socket.on('error', () => undefined);
			socket.on('data', () => {
				count++;
				handle(socket, count);
			});
		});
		server = created;
		await new Promise<void>(resolve => {
			created.listen(0, '127.0.0.1', resolve);
		});
		return new TargetClient({
			host: '127.0.0.1', port: (created.address() as AddressInfo).port, getMaxConnections: () => 2, maxResponseBytes,
		});
	};

	const send = async (client: TargetClient, signal = new AbortController().signal, confirmSend = async () => true, method = 'GET') => client.sendRequest({
		method, path: '/', createHeaders: () => ['host', 'h'], body: new Uint8Array(0), confirmSend, canReuseConnection: () => true, memory: createUnlimitedHold(), signal,
	});

	afterEach(() => {
		server?.close();
	});

	it.each([
		['a response head', head, 'X-More: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n'],
		['a line', '', 'a'.repeat(1000)],
		['informational responses', '', 'HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n'.repeat(20)],
		['chunks', `${head}Transfer-Encoding: chunked\r\n\r\n`, `2710\r\n${'a'.repeat(10_000)}\r\n`],
		['a body without a length', `${head}\r\n`, 'a'.repeat(10_000)],
		['a body larger than the limit', `${head}Content-Length: 1000000000\r\n\r\n`, 'a'.repeat(10_000)],
	])('closes the connection of a target that sends %s endlessly', async (_name, begin, more) => {
		const closed = new Map<string, number>();
		let sentBytes = 0;
		const client = await listen(socket => {
			const sendMore = () => {
				while (!socket.destroyed && socket.write(more)) {
					sentBytes += more.length;
				}
			};

			socket.once('close', () => {
				closed.set('socket', sentBytes);
			});
			socket.on('drain', sendMore);
			socket.write(begin);
			sendMore();
		});
		const exchange = await send(client);
		expect(exchange.kind).toBe('lost');
		await vi.waitFor(() => {
			expect(closed.has('socket')).toBe(true);
		}, {timeout: 2000});
		expect(sentBytes).toBeLessThan(20 * maxResponseBytes);
		client.dispose();
	});

	it.each([
		['a body without a length', `${head}\r\n`],
		['a body that does not end within the time limit', `${head}Content-Length: 100000000000\r\n\r\n`],
	])('closes the connection of a health check whose response has %s', async (_name, begin) => {
		let isClosed = false;
		const client = await listen(socket => {
			const sendMore = () => {
				while (!socket.destroyed && socket.write('a'.repeat(10_000))) {
					// Writes until the send buffer is full.
				}
			};

			socket.once('close', () => {
				isClosed = true;
			});
			socket.on('drain', sendMore);
			socket.write(begin);
			sendMore();
		});
		const response = await client.sendProbe({
			path: '/', host: 'h', timeoutMs: 100, isProbeResponse: () => true,
		});
		expect(response?.status).toBe(200);
		await vi.waitFor(() => {
			expect(isClosed).toBe(true);
		}, {timeout: 2000});
		client.dispose();
	});

	it.each([
		['a length', `${head}Content-Length: 2\r\n\r\nok`, 'end', 'answer'],
		['chunks', `${head}Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n`, 'end', 'answer'],
		['no delimited body and a close', `${head}\r\nok`, 'end', 'answer'],
		['no delimited body and a reset', `${head}\r\nok`, 'reset', 'lost'],
		['an encoding without chunks and a close', `${head}Transfer-Encoding: gzip\r\n\r\nok`, 'end', 'answer'],
		['an encoding without chunks and a reset', `${head}Transfer-Encoding: gzip\r\n\r\nok`, 'reset', 'lost'],
		['fewer bytes than its length', `${head}Content-Length: 9\r\n\r\nok`, 'end', 'lost'],
		['chunks without the last chunk', `${head}Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n`, 'reset', 'lost'],
		['bytes that are not HTTP', 'hello\r\n\r\n', 'end', 'lost'],
		['no bytes', '', 'end', 'lost'],
	])('classifies a response with %s correctly', async (_name, bytes, end, kind) => {
		const client = await listen(socket => {
			socket.write(bytes);
			setImmediate(() => {
				if (end === 'reset') {
					socket.resetAndDestroy();
				} else {
					socket.end();
				}

				blockReading(20);
			});
		});
		const exchange = await send(client);
		expect(exchange.kind).toBe(kind);
		if (exchange.kind === 'answer') {
			expect(Buffer.from(exchange.answer.body).toString()).toBe('ok');
		}

		client.dispose();
	});

	// Guards against responses that are held until the target closes the connection, although they end with their head.
	// Node.js does not reuse the connection of a HEAD request whose response states no length.
	it.each([
		['status 204', 'GET', 'HTTP/1.1 204 No Content\r\nX-Id: a\r\n\r\n', 1],
		['status 304', 'GET', 'HTTP/1.1 304 Not Modified\r\nX-Id: a\r\n\r\n', 1],
		['status 304 and the length of what it stands for', 'GET', 'HTTP/1.1 304 Not Modified\r\nX-Id: a\r\nContent-Length: 9\r\n\r\n', 1],
		['status 200 to a HEAD request', 'HEAD', `${head}\r\n`, 2],
		['status 200 and a length to a HEAD request', 'HEAD', `${head}Content-Length: 9\r\n\r\n`, 1],
	])('completes a response with %s at its head', async (_name, method, bytes, expectedConnections) => {
		let connections = 0;
		const client = await listen(socket => {
			socket.write(bytes);
		});
		server?.on('connection', () => {
			connections++;
		});
		for (let count = 0; count < 2; count++) {
			const exchange = await Promise.race([send(client, undefined, undefined, method), sleep(1000)]);
			expect(exchange).toMatchObject({kind: 'answer', answer: {status: Number(bytes.split(' ')[1])}});
		}

		expect(connections).toBe(expectedConnections);
		client.dispose();
	});

	it.each([
		['a length', `${head}Content-Length: 2\r\n\r\nok`],
		['informational responses before it', `HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n${head}Content-Length: 2\r\n\r\nok`],
		['chunks with extensions and trailers', `${head}Transfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n2;a=b\r\nok\r\n0;a=b\r\nX-T: c\r\n\r\n`],
		['many header fields', `${head}${Array.from({length: 70}, (_item, index) => `X-${index}: a\r\n`).join('')}Content-Length: 2\r\n\r\nok`],
		['no delimited body, within its head', `${head}X-B: c\r\n\r\n`],
	])('never takes a response with %s for complete when it is truncated at any byte', async (_name, bytes) => {
		const cuts = Array.from({length: bytes.length}, (_item, index) => index);
		for (const how of ['end', 'reset']) {
			let next = 0;
			const client = await listen(socket => {
				const cut = cuts[next++] ?? 0;
				socket.write(bytes.slice(0, cut), () => {
					if (how === 'end') {
						socket.end();
					} else {
						socket.resetAndDestroy();
					}
				});
			});
			const acceptedCuts: number[] = [];
			for (const cut of cuts) {
				const exchange = await send(client);
				if (exchange.kind === 'answer') {
					acceptedCuts.push(cut);
				}
			}

			client.dispose();
			server?.close();
			expect(acceptedCuts).toEqual([]);
		}
	});

	it('closes an idle connection on which a second response arrives', async () => {
		const response = `${head}Content-Length: 2\r\n\r\nok`;
		let connections = 0;
		const client = await listen((socket, count) => {
			socket.write(response);
			if (count === 1) {
				setTimeout(() => socket.write(response), 20);
			}
		});
		server?.on('connection', () => {
			connections++;
		});
		await send(client);
		await sleep(60);
		const second = await send(client);
		expect(second.kind).toBe('answer');
		expect(connections).toBe(2);
		client.dispose();
	});

	it('fails a request at once when it is aborted while it waits for a connection, and sends nothing of it', async () => {
		const received: string[] = [];
		const client = await listen(socket => {
			setTimeout(() => socket.write(`${head}Content-Length: 2\r\n\r\nok`), 200);
		});
		server?.on('connection', (socket: Socket) => {
			socket.on('data', data => {
				received.push(String(data).split('\r\n', 1)[0] ?? '');
			});
		});
		const running = [send(client), send(client)];
		const aborter = new AbortController();
		const waiting = send(client, aborter.signal);
		setTimeout(() => {
			aborter.abort(new Error('ended'));
		}, 20);
		const first = await Promise.race([waiting, ...running]);
		expect(first.kind).toBe('unsent');
		await Promise.all(running);
		await sleep(50);
		expect(received).toHaveLength(2);
		const after = await send(client);
		expect(after.kind).toBe('answer');
		client.dispose();
	});

	it('creates the headers when a connection is free, so that the remaining time they state excludes the wait for it', async () => {
		const stated: number[] = [];
		const client = await listen(socket => {
			setTimeout(() => socket.write(`${head}Content-Length: 2\r\n\r\nok`), 200);
		});
		server?.on('connection', (socket: Socket) => {
			socket.on('data', data => {
				stated.push(Number(/left-ms: (?<ms>\d+)/v.exec(String(data))?.groups?.ms));
			});
		});
		const deadlineAt = performance.now() + 1000;
		await Promise.all(Array.from({length: 3}, async () => client.sendRequest({
			method: 'GET',
			path: '/',
			body: new Uint8Array(0),
			createHeaders: () => ['host', 'h', 'left-ms', String(Math.round(deadlineAt - performance.now()))],
			confirmSend: async () => true,
			canReuseConnection: () => true,
			memory: createUnlimitedHold(),
			signal: new AbortController().signal,
		})));
		expect(stated).toHaveLength(3);
		expect(stated[0]).toBeGreaterThan(850);
		expect(stated[2]).toBeLessThan(850);
		client.dispose();
	});

	it.each([
		['GET', '', ['host: h', 'X-A: 1', 'X-A: 2', 'x-b: 3'], undefined],
		['POST', 'order', ['host: h', 'X-A: 1', 'X-A: 2', 'x-b: 3'], 'content-length: 5'],
		['POST', '', ['host: h', 'X-A: 1', 'X-A: 2', 'x-b: 3'], 'content-length: 0'],
		['GET', 'order', ['host: h', 'X-A: 1', 'X-A: 2', 'x-b: 3'], 'content-length: 5'],
	])('writes the headers of a %s request with the body "%s" in their order and case, and frames the body by length', async (method, body, headers, framing) => {
		let received = '';
		const client = await listen(socket => {
			socket.write(`${head}Content-Length: 2\r\n\r\nok`);
		});
		server?.on('connection', (socket: Socket) => {
			socket.on('data', data => {
				received += String(data);
			});
		});
		await client.sendRequest({
			method,
			path: '/a?b',
			body: Buffer.from(body),
			createHeaders: () => headers.flatMap(header => header.split(': ')),
			confirmSend: async () => true,
			canReuseConnection: () => true,
			memory: createUnlimitedHold(),
			signal: new AbortController().signal,
		});
		const [lines = '', sent] = received.split('\r\n\r\n');
		expect(lines.split('\r\n').slice(0, headers.length + 1)).toEqual([`${method} /a?b HTTP/1.1`, ...headers]);
		expect(/(?:content-length|transfer-encoding)[^\r]*/iv.exec(lines)?.[0].toLowerCase()).toBe(framing);
		expect(sent).toBe(body);
		client.dispose();
	});

	it.each([['a new', 0], ['a reused', 1]])('sends nothing over %s connection when the request is not confirmed', async (_name, before) => {
		let received = 0;
		const client = await listen((socket, count) => {
			received = count;
			socket.write(`${head}Content-Length: 2\r\n\r\nok`);
		});
		for (let sent = 0; sent < before; sent++) {
			await send(client);
		}

		const exchange = await send(client, new AbortController().signal, async () => false);
		await sleep(50);
		expect(exchange.kind).toBe('unconfirmed');
		expect(received).toBe(before);
		const after = await send(client);
		expect(after.kind).toBe('answer');
		client.dispose();
	});

	it('sends nothing of a request that is aborted before it is written', async () => {
		let received = 0;
		const client = await listen(() => {
			received++;
		});
		const aborter = new AbortController();
		const exchange = await send(client, aborter.signal, async () => {
			await new Promise(resolve => {
				setImmediate(resolve);
			});
			aborter.abort(new Error('ended'));
			return true;
		});
		await sleep(50);
		expect(exchange.kind).toBe('unsent');
		expect(received).toBe(0);
		client.dispose();
	});

	it('rejects a response that arrives before the request is written', async () => {
		const client = await listen(() => undefined);
		server?.on('connection', socket => {
			socket.write(`${head}Content-Length: 2\r\n\r\nok`);
		});
		const exchange = await send(client, new AbortController().signal, async () => {
			await sleep(100);
			return true;
		});
		expect(exchange.kind).toBe('unsent');
		client.dispose();
	});

	it('ignores a response to another request when it probes, and closes the connection', async () => {
		let connections = 0;
		const client = await listen(socket => {
			socket.write(`${head}Content-Length: 0\r\n\r\n`);
		});
		server?.on('connection', () => {
			connections++;
		});
		const probe = async () => client.sendProbe({
			path: '/', host: 'h', timeoutMs: 500, isProbeResponse: rawHeaders => !rawHeaders.includes('X-Id'),
		});
		expect(await probe()).toBeUndefined();
		expect(await probe()).toBeUndefined();
		expect(connections).toBe(2);
		client.dispose();
	});

	// Guards against exceptions that nobody handles, which end the process.
	it.each([
		['a path', '/a\tb', ['host', 'h']],
		['a header name', '/', ['bad name', 'x']],
		['a header value', '/', ['x-a', 'a\u0001b']],
	])('reports that nothing was sent when Node.js refuses to write %s, and keeps working', async (_name, path, headers) => {
		let received = 0;
		const client = await listen(socket => {
			received++;
			socket.write(`${head}Content-Length: 2\r\n\r\nok`);
		});
		const exchange = await client.sendRequest({
			method: 'GET',
			path,
			body: new Uint8Array(0),
			createHeaders: () => headers,
			confirmSend: async () => true,
			canReuseConnection: () => true,
			memory: createUnlimitedHold(),
			signal: new AbortController().signal,
		});
		expect(exchange.kind).toBe('unsent');
		expect(received).toBe(0);
		const after = await send(client);
		expect(after.kind).toBe('answer');
		client.dispose();
	});

	// Guards against a health check that never settles, after which the target is never asked again.
	it.each([
		['switches protocols', 'HTTP/1.1 101 Any\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n'],
		['is no HTTP', 'hello\r\n\r\n'],
		['does not come', ''],
	])('settles a health check whose response %s', async (_name, bytes) => {
		const client = await listen(socket => {
			socket.write(bytes);
		});
		const probe = client.sendProbe({
			path: '/', host: 'h', timeoutMs: 100, isProbeResponse: () => true,
		});
		expect(await Promise.race([probe, sleep(1000, 'pending')])).toBeUndefined();
		client.dispose();
	});

	it('reports that nothing was sent when no connection can be opened', async () => {
		const client = await listen(() => undefined);
		await new Promise(resolve => {
			server?.close(resolve);
		});
		const exchange = await send(client);
		expect(exchange.kind).toBe('unsent');
		client.dispose();
	});
});
