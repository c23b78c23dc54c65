// A proxy between clients and a gateway that delays bytes and ends, as the way between them does.
import net from 'node:net';

const relay = (from, to, delayMs) => {
	from.on('data', data => {
		setTimeout(() => {
			if (!to.destroyed) {
				to.write(data);
			}
		}, delayMs);
	});
	from.on('end', () => {
		setTimeout(() => {
			to.end();
		}, delayMs);
	});
	from.on('error', () => {
		setTimeout(() => {
			to.destroy();
		}, delayMs);
	});
};

/** Starts a proxy with a delay in each direction; resolves with its port and a function that closes it. */
export const startProxy = async (address, delayMs) => {
	const [host, port] = address.split(':');
	const sockets = new Set();
	const server = net.createServer({allowHalfOpen: true, noDelay: true}, client => {
		const gateway = net.connect({
			host, port: Number(port), allowHalfOpen: true, noDelay: true,
		});
		for (const socket of [client, gateway]) {
			sockets.add(socket);
			socket.once('close', () => {
				sockets.delete(socket);
			});
		}

		relay(client, gateway, delayMs);
		relay(gateway, client, delayMs);
	});
	await new Promise(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return {
		port: server.address().port,
		close() {
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
};
