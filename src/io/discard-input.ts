import type {Duplex} from 'node:stream';

/** Reads and drops whatever else arrives on a connection, so that the HTTP parser gets none of it. */
export const discardInput = (socket: Duplex): void => {
	socket.removeAllListeners('data');
	// With its first `data` listener, Node.js takes the socket back from the parser, which reads it directly until then.
	socket.on('data', () => undefined);
	socket.resume();
};
