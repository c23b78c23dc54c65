import {Buffer} from 'node:buffer';
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

type RawAnswer = {
	/** All bytes received until the end, as latin1. */
	readonly text: string;
	/** True when the connection ended by a reset. */
	readonly isReset: boolean;
};

type RawOptions = {
	/** Time between the parts, in ms. */
	readonly pauseMs?: number;
	/** Time after which the caller gives up, in ms. */
	readonly limitMs?: number;
};

/** Sends bytes in parts over a connection of its own and collects what comes back until it closes. */
export const sendRaw = async (port: number, parts: ReadonlyArray<string | Uint8Array>, {pauseMs = 5, limitMs = 8000}: RawOptions = {}): Promise<RawAnswer> => {
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
