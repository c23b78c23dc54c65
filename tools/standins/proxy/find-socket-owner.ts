import {readdir, readFile, readlink} from 'node:fs/promises';

const localAddressColumn = 1;
const inodeColumn = 9;

const findInode = async (port: number): Promise<string | undefined> => {
	const suffix = `:${port.toString(16).toUpperCase().padStart(4, '0')}`;
	const table = await readFile('/proc/net/tcp', 'utf8');
	const row = table.split('\n').map(line => line.trim().split(/\s+/v)).find(columns => columns[localAddressColumn]?.endsWith(suffix) && columns[inodeColumn] !== '0');
	return row?.[inodeColumn];
};

const readLink = async (file: string): Promise<string> => {
	try {
		return await readlink(file);
	} catch {
		// The descriptor was closed in the meantime.
		return '';
	}
};

const hasInode = async (pid: number, inode: string): Promise<boolean> => {
	try {
		const folder = `/proc/${pid}/fd`;
		const names = await readdir(folder);
		const links = await Promise.all(names.map(async name => readLink(`${folder}/${name}`)));
		return links.includes(`socket:[${inode}]`);
	} catch {
		// The process exited in the meantime.
		return false;
	}
};

/**
Finds which of the given processes owns the socket with a local port, by means of /proc (Linux only).
All processes connect from the loopback address, so only the owner tells them apart for a network partition.
@returns The process id; undefined when none of the processes owns such a socket.
*/
export const findSocketOwner = async (port: number, pids: readonly number[]): Promise<number | undefined> => {
	const inode = await findInode(port);
	if (inode === undefined) {
		return undefined;
	}

	const matches = await Promise.all(pids.map(async pid => hasInode(pid, inode)));
	return pids[matches.indexOf(true)];
};
