import {createServer, type AddressInfo} from 'node:net';

const openServer = async () => new Promise<ReturnType<typeof createServer>>((resolve, reject) => {
	const server = createServer();
	server.once('error', reject);
	server.listen(0, '127.0.0.1', () => {
		resolve(server);
	});
});

/** Finds TCP ports on loopback that are free now. */
export const findFreePorts = async (count: number): Promise<number[]> => {
	const servers = await Promise.all(Array.from({length: count}, openServer));
	const ports = servers.map(server => (server.address() as AddressInfo).port);
	await Promise.all(servers.map(async server => new Promise(resolve => {
		server.close(resolve);
	})));
	return ports;
};
