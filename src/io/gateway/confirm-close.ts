import type {Socket} from 'node:net';

/**
Tells whether a connection that ends was closed by the other side, which is the end of an answer without a length, or reset,
which cuts it. Node reports both as the end when the reset arrives together with data; a write fails only after a reset.
@returns True for a close, false for a reset.
*/
export const confirmClose = async (socket: Socket): Promise<boolean> => new Promise(resolve => {
	socket.prependOnceListener('end', () => {
		socket.write('\r\n', error => {
			resolve(error === null || error === undefined);
		});
	});
	socket.once('close', hadError => {
		resolve(!hadError);
	});
});
