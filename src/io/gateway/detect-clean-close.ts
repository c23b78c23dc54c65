import type {Socket} from 'node:net';

/**
Detects whether the peer closed a connection (FIN), which completes a response without a length, or reset it (RST), which truncates
the response. Node emits `end` for both when the reset arrives together with data, but a later write fails only after a reset.
@returns True for a close, false for a reset.
*/
export const detectCleanClose = async (socket: Socket): Promise<boolean> => new Promise(resolve => {
	socket.prependOnceListener('end', () => {
		socket.write('\r\n', error => {
			resolve(error === null || error === undefined);
		});
	});
	socket.once('close', hadError => {
		resolve(!hadError);
	});
});
