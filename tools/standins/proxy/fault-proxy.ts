import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import type {DisposableLike} from '../../../src/common/disposable-like.js';
import {findSocketOwner} from './find-socket-owner.js';
import {ProxiedConnection} from './proxied-connection.js';
import {ProxyFaultKind} from './proxy-fault-kind.js';
import type {ProxyFault} from './proxy-fault.js';

type FaultProxyOptions = {
	/** Where connections go. */
	readonly host: string;
	readonly port: number;
	/** Lists the processes whose connections can be told apart, for splits. */
	readonly listPids?: () => readonly number[];
};

const loopback = '127.0.0.1';

/** A TCP proxy that injects faults; all of them can be switched while it runs. */
export class FaultProxy implements DisposableLike {
	private readonly _connections = new Map<ProxiedConnection, number | undefined>();
	private readonly _swallowed = new Set<Socket>();
	private _server: Server | undefined;
	private _port = 0;
	private _fault: ProxyFault | undefined;
	private _blockedPids: readonly number[] = [];

	constructor(private readonly _options: FaultProxyOptions) {}

	/** Port on loopback. */
	get port(): number {
		return this._port;
	}

	/** Connections that are open now. */
	get connectionCount(): number {
		return this._connections.size;
	}

	/** Starts listening. */
	async start(port = 0): Promise<void> {
		this._port = port;
		await this._listen();
	}

	/** Injects a fault, or none. */
	async setFault(fault: ProxyFault | undefined): Promise<void> {
		const before = this._fault;
		this._fault = fault;
		if (fault?.kind === ProxyFaultKind.Refuse) {
			this._server?.close();
			this._server = undefined;
		} else if (before?.kind === ProxyFaultKind.Refuse) {
			await this._listen();
		}

		if (fault?.kind === ProxyFaultKind.Reset) {
			for (const connection of this._connections.keys()) {
				connection.abort();
			}
		}
	}

	/** Makes every open connection go silent for good; new ones work. */
	dropOpenConnections(): void {
		for (const connection of this._connections.keys()) {
			connection.drop();
		}
	}

	/** Splits the given processes from what is behind this proxy: their open connections go silent, new ones are swallowed. */
	setBlockedPids(pids: readonly number[]): void {
		this._blockedPids = pids;
		for (const [connection, pid] of this._connections) {
			if (pid !== undefined && pids.includes(pid)) {
				connection.drop();
			}
		}

		if (pids.length === 0) {
			this._clearSwallowed();
		}
	}

	dispose(): void {
		this._server?.close();
		this._clearSwallowed();
		for (const connection of this._connections.keys()) {
			connection.dispose();
		}
	}

	private async _listen(): Promise<void> {
		const server = createServer(socket => {
			void this._accept(socket);
		});
		this._server = server;
		await new Promise<void>((resolve, reject) => {
			server.once('error', reject);
			server.listen(this._port, loopback, resolve);
		});
		this._port = (server.address() as AddressInfo).port;
	}

	private async _accept(socket: Socket): Promise<void> {
		socket.on('error', () => {
			// A reset by the caller ends the connection, which the close event tells.
		});
		const pids = this._options.listPids?.() ?? [];
		const pid = pids.length === 0 ? undefined : await findSocketOwner(socket.remotePort ?? 0, pids);
		const fault = this._fault;
		if (fault?.kind === ProxyFaultKind.Reset) {
			socket.resetAndDestroy();
			return;
		}

		if (fault?.kind === ProxyFaultKind.Swallow || (pid !== undefined && this._blockedPids.includes(pid))) {
			this._swallow(socket);
			return;
		}

		this._open(socket, pid, fault);
	}

	private _open(client: Socket, pid: number | undefined, fault: ProxyFault | undefined): void {
		const connection = new ProxiedConnection({
			client,
			host: this._options.host,
			port: this._options.port,
			delayMs: fault?.kind === ProxyFaultKind.Delay ? fault.delayMs : 0,
			cutAfterBytes: fault?.kind === ProxyFaultKind.Cut ? fault.afterBytes : Number.POSITIVE_INFINITY,
		});
		this._connections.set(connection, pid);
		connection.onClosed(() => {
			this._connections.delete(connection);
		});
	}

	private _swallow(socket: Socket): void {
		this._swallowed.add(socket);
		socket.resume();
		socket.once('close', () => {
			this._swallowed.delete(socket);
		});
	}

	private _clearSwallowed(): void {
		for (const socket of this._swallowed) {
			socket.destroy();
		}

		this._swallowed.clear();
	}
}
