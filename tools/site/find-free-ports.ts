import {createServer} from 'node:net';
import process from 'node:process';

/** The range lies below the ephemeral ports, so that no outgoing connection takes a port while a process restarts. */
const firstPort = 10_000;
const portCount = 22_000;
/** Separates the starting points of processes that search for ports at the same time. */
const pidStride = 397;

let nextOffset = (process.pid * pidStride) % portCount;

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

/** Finds TCP ports on loopback that are currently free; calls in one process return distinct ports until the range is exhausted. */
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
