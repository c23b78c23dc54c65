import {Buffer} from 'node:buffer';
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {TargetClient} from './target-client.js';

const head = 'HTTP/1.1 200 OK\r\nX-Id: a\r\n';

/** Keeps the process from reading for a while, so that data and the end of a connection arrive together. */
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
		return new TargetClient({host: '127.0.0.1', port: (created.address() as AddressInfo).port, getMaxConnections: () => 2});
	};

	const send = async (client: TargetClient) => client.sendRequest({
		method: 'GET', path: '/', rawHeaders: ['host', 'h'], body: new Uint8Array(0), signal: new AbortController().signal,
	});

	afterEach(() => {
		server?.close();
	});

	it.each([
		['a length', `${head}Content-Length: 2\r\n\r\nok`, 'end', 'answer'],
		['chunks', `${head}Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n`, 'end', 'answer'],
		['no stated end and a close', `${head}\r\nok`, 'end', 'answer'],
		['no stated end and a reset', `${head}\r\nok`, 'reset', 'lost'],
		['a length that is not reached', `${head}Content-Length: 9\r\n\r\nok`, 'end', 'lost'],
		['chunks without the last', `${head}Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n`, 'reset', 'lost'],
		['bytes that are no answer', 'hello\r\n\r\n', 'end', 'lost'],
		['no byte', '', 'end', 'lost'],
	])('takes an answer with %s for what it is', async (_name, bytes, end, kind) => {
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

	it('closes an idle connection on which a second answer arrives', async () => {
		const answer = `${head}Content-Length: 2\r\n\r\nok`;
		let connections = 0;
		const client = await listen((socket, count) => {
			socket.write(answer);
			if (count === 1) {
				setTimeout(() => socket.write(answer), 20);
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

	it('says that nothing was sent when no connection can be opened', async () => {
		const client = await listen(() => undefined);
		await new Promise(resolve => {
			server?.close(resolve);
		});
		const exchange = await send(client);
		expect(exchange.kind).toBe('unsent');
		client.dispose();
	});
});
