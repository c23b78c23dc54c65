import {createServer} from 'node:net';

/** Ports below those that the system gives to outgoing connections, so that none takes a port between two lives of a process. */
const firstPort = 10_000;
const lastPort = 32_000;
const maxAttempts = 10_000;

const isFree = async (port: number): Promise<boolean> => new Promise(resolve => {
	const server = createServer();
	server.once('error', () => {
		resolve(false);
	});
	server.listen(port, '127.0.0.1', () => {
		server.close(() => {
			resolve(true);
		});
	});
});

/** Finds TCP ports on loopback that are free now. */
export const findFreePorts = async (count: number): Promise<number[]> => {
	const ports = new Set<number>();
	for (let attempt = 0; ports.size < count && attempt < maxAttempts; attempt++) {
		const port = firstPort + Math.floor(Math.random() * (lastPort - firstPort));
		if (!ports.has(port) && await isFree(port)) {
			ports.add(port);
		}
	}

	return [...ports];
};
