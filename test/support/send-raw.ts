import {Buffer} from 'node:buffer';
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

type RawResponse = {
	/** All bytes received until the connection closed, as latin1. */
	readonly text: string;
	/** True when the connection was reset. */
	readonly isReset: boolean;
};

type RawOptions = {
	/** Time to wait after each part, in ms. */
	readonly pauseMs?: number;
	/** Time after which the caller closes the connection, in ms. */
	readonly limitMs?: number;
};

/** Sends raw parts over a new connection and collects the received bytes until it closes. */
export const sendRaw = async (port: number, parts: ReadonlyArray<string | Uint8Array>, {pauseMs = 5, limitMs = 8000}: RawOptions = {}): Promise<RawResponse> => {
	const socket = connect({port, host: '127.0.0.1', noDelay: true});
	const received: Uint8Array[] = [];
	let isReset = false;
	const closed = new Promise<void>(resolve => {
		socket.on('data', chunk => {
			received.push(chunk);
		});
		socket.on('error', error => {
			isReset ||= (error as NodeJS.ErrnoException).code === 'ECONNRESET';
		});
		socket.once('close', () => {
			resolve();
		});
	});
	const timer = setTimeout(() => {
		socket.destroy();
	}, limitMs);
	for (const part of parts) {
		if (socket.destroyed) {
			break;
		}

		socket.write(typeof part === 'string' ? Buffer.from(part, 'latin1') : part);
		await sleep(pauseMs);
	}

	await closed;
	clearTimeout(timer);
	return {text: Buffer.concat(received).toString('latin1'), isReset};
};
