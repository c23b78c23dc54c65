import {createServer} from 'node:net';
import process from 'node:process';

/** Ports below those that the system gives to outgoing connections, so that none takes a port between two lives of a process. */
const firstPort = 10_000;
const portCount = 22_000;
/** Spreads processes that look for ports at the same time over the range. */
const processStep = 397;

let nextOffset = (process.pid * processStep) % portCount;

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

/** Finds TCP ports on loopback that are free now; no two calls of a process give the same one until the range is used up. */
export const findFreePorts = async (count: number): Promise<number[]> => {
	const ports: number[] = [];
	for (let attempt = 0; ports.length < count && attempt < portCount; attempt++) {
		const port = firstPort + nextOffset;
		nextOffset = (nextOffset + 1) % portCount;
		if (await isFree(port)) {
			ports.push(port);
		}
	}

	return ports;
};
