import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {fromPromise} from 'neverthrow';
import {request} from 'undici';
import {silentLogger} from '../../../test/support/silent-logger.js';
import {HeldBytes} from '../../policy/gateway/held-bytes.js';
import {HttpListener} from '../http-listener.js';
import {createCallHandler} from './create-call-handler.js';
import {createSyncRouter} from './create-sync-router.js';

const envelope = JSON.stringify({
	from: 'a',
	incarnation: 1,
	changeNumber: 0,
	takenNumber: 0,
	digest: 0,
	members: [],
	view: {
		configuration: 0, configurationAgeMs: 0, targets: 0, targetsAgeMs: 0,
	},
});

const heldBytesLimit = 20_000_000;

describe('createCallHandler', () => {
	const heldBytes = new HeldBytes(heldBytesLimit);
	const handleCall = createCallHandler(createSyncRouter({
		handleMessage(message) {
			if (message.from === 'broken') {
				throw new Error('broken');
			}

			return {...message, from: 'b'};
		},
		getConfiguration: () => undefined,
	}, silentLogger), heldBytes);
	const listener = new HttpListener({}, (incoming, response) => {
		void handleCall(incoming, response);
	});

	beforeAll(async () => {
		const listened = await listener.listen({host: '127.0.0.1', port: 0});
		expect(listened.isOk()).toBe(true);
	});
	afterAll(() => {
		listener.dispose();
	});

	const send = async (path: string, input: string): Promise<{status: number; body: unknown}> => {
		const {statusCode, body} = await request(`http://127.0.0.1:${listener.port}/${path}`, {method: 'POST', body: input, headers: {'content-type': 'application/json'}});
		const json: unknown = await body.json();
		return {status: statusCode, body: json};
	};

	it('refuses an input that is too large for the memory of all calls, and releases what it held', async () => {
		heldBytes.tryTake(heldBytesLimit - 100_000);
		const result = await fromPromise(send('sync', 'a'.repeat(200_000)), error => error as Error);
		// The response is lost when the connection is reset while the input is still being sent.
		expect(result.map(({status}) => status).unwrapOr(429)).toBe(429);
		heldBytes.release(heldBytesLimit - 100_000);
		expect(heldBytes.held).toBe(0);
	});

	it('refuses an input with too many values', async () => {
		expect(await send('sync', `[1${',1'.repeat(125_000)}]`)).toMatchObject({status: 400});
		expect(heldBytes.held).toBe(0);
	});

	it.each([
		['sync', envelope, 200, {result: {data: {from: 'b'}}}],
		['configuration', '3', 200, {result: {}}],
		['none', envelope, 404, {error: {data: {code: 'NOT_FOUND'}}}],
		['sync', '{"from":', 400, {error: {data: {code: 'PARSE_ERROR'}}}],
		['sync', '{}', 400, {error: {message: 'a message needs from, members and view'}}],
		['sync', envelope.replace('"a"', '"broken"'), 500, {error: {message: 'broken'}}],
	])('responds to a call of %s with input %s with status %i', async (path, body, status, expected) => {
		expect(await send(path, body)).toMatchObject({status, body: expected});
	});

	it('ends a call whose input is too long, by a 413 response or a reset', async () => {
		const ended = await fromPromise(send('sync', 'x'.repeat(9 * 1024 * 1024)), error => error as Error);
		expect(ended.isErr() || ended.value.status === 413).toBe(true);
		expect(await send('sync', envelope)).toMatchObject({status: 200});
	});
});
