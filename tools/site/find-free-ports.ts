import {createServer, type Server} from 'node:net';

const loopback = '127.0.0.1';
/** Below the range from which the system takes ports for outgoing connections, which could take a port found here. */
const lowestPort = 10_000;
const highestPort = 32_000;

const tryListen = async (port: number): Promise<Server | undefined> => new Promise(resolve => {
	const server = createServer();
	server.once('error', () => {
		resolve(undefined);
	});
	server.listen(port, loopback, () => {
		resolve(server);
	});
});

/** Finds TCP ports on loopback that are free now, chosen at random so that processes that run side by side seldom meet. */
export const findFreePorts = async (count: number): Promise<number[]> => {
	const servers = new Map<number, Server>();
	while (servers.size < count) {
		const port = lowestPort + Math.floor(Math.random() * (highestPort - lowestPort));
		const server = servers.has(port) ? undefined : await tryListen(port);
		if (server !== undefined) {
			servers.set(port, server);
		}
	}

	await Promise.all([...servers.values()].map(async server => new Promise(resolve => {
		server.close(resolve);
	})));
	return [...servers.keys()];
};
