import {Buffer} from 'node:buffer';
import {STATUS_CODES} from 'node:http';
import type {Duplex} from 'node:stream';
import {createProblem} from '../common/create-problem.js';
import type {RequestError} from '../common/request-error.js';
import {discardInput} from './discard-input.js';

/** Time for the caller to read the response before the connection is destroyed, in ms. */
const lingerMs = 1000;

/** Writes a problem response to a socket without an HTTP response object, such as after a parse error or for CONNECT, and closes the connection. Requests that arrive later on it are not read. */
export const writeSocketProblem = (socket: Duplex, error: RequestError): void => {
	if (!socket.writable) {
		socket.destroy();
		return;
	}

	discardInput(socket);
	const problem = createProblem(error);
	const headers = {...problem.headers, 'content-length': String(Buffer.byteLength(problem.body)), connection: 'close'};
	const head = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('');
	socket.end(`HTTP/1.1 ${problem.status} ${STATUS_CODES[problem.status] ?? ''}\r\n${head}\r\n${problem.body}`);
	// Destroying the socket at once would reset the connection while the caller is still sending, and the response would be lost.
	const timer = setTimeout(() => {
		socket.destroy();
	}, lingerMs);
	socket.once('close', () => {
		clearTimeout(timer);
	});
};
