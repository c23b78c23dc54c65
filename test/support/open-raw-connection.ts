import {once} from 'node:events';
import {connect} from 'node:net';
import type {RawConnection} from './raw-connection.js';

/**
Opens a connection on loopback as a caller that writes raw text.
@param allowHalfOpen - Whether the caller leaves its side open after the other one has ended.
*/
export const openRawConnection = async (port: number, allowHalfOpen = false): Promise<RawConnection> => {
	const socket = connect({port, host: '127.0.0.1', allowHalfOpen});
	await once(socket, 'connect');
	let received = '';
	socket.setEncoding('utf8');
	socket.on('data', (text: string) => {
		received += text;
	});
	return {
		write(text) {
			socket.write(text);
		},
		destroy() {
			socket.destroy();
		},
		get received() {
			return received;
		},
		get isEnded() {
			return socket.readableEnded;
		},
		closed: once(socket, 'close'),
	};
};
