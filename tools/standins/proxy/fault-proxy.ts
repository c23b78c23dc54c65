import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import type {DisposableLike} from '../../../src/common/disposable-like.js';
import {findSocketOwner} from './find-socket-owner.js';
import {ProxiedConnection} from './proxied-connection.js';
import {ProxyFaultKind} from './proxy-fault-kind.js';
import type {ProxyFault} from './proxy-fault.js';

type FaultProxyOptions = {
	/** Upstream address. */
	readonly host: string;
	readonly port: number;
	/** Lists the processes that can be partitioned from the upstream. */
	readonly listPids?: () => readonly number[];
};

const loopback = '127.0.0.1';

/** A TCP proxy that injects faults, which can be changed while it runs. */
export class FaultProxy implements DisposableLike {
	/** Open connections with the process that opened each; undefined when it is unknown. */
	private readonly _connections = new Map<ProxiedConnection, number | undefined>();
	private readonly _blackholedSockets = new Set<Socket>();
	private _server: Server | undefined;
	private _port = 0;
	private _fault: ProxyFault | undefined;
	private _partitionedPids: readonly number[] = [];

	constructor(private readonly _options: FaultProxyOptions) {}

	/** Listening port on loopback. */
	get port(): number {
		return this._port;
	}

	/** Number of open connections that are forwarded to the upstream. */
	get connectionCount(): number {
		return this._connections.size;
	}

	/** Starts listening; port 0 lets the system choose one. */
	async start(port = 0): Promise<void> {
		this._port = port;
		await this._listen();
	}

	/** Replaces the injected fault; undefined restores normal forwarding. */
	async setFault(fault: ProxyFault | undefined): Promise<void> {
		const previousFault = this._fault;
		this._fault = fault;
		if (fault?.kind === ProxyFaultKind.Refuse) {
			this._server?.close();
			this._server = undefined;
		} else if (previousFault?.kind === ProxyFaultKind.Refuse) {
			await this._listen();
		}

		if (fault?.kind === ProxyFaultKind.Reset) {
			for (const connection of this._connections.keys()) {
				connection.abort();
			}
		}
	}

	/** Discards all further bytes on every open connection; new connections work. */
	blackholeOpenConnections(): void {
		for (const connection of this._connections.keys()) {
			connection.blackhole();
		}
	}

	/**
	Simulates a network partition between processes and the upstream: bytes on their open and new connections are discarded.
	An empty list ends the partition and closes the connections that were accepted during it.
	*/
	setPartitionedPids(pids: readonly number[]): void {
		this._partitionedPids = pids;
		for (const [connection, pid] of this._connections) {
			if (pid !== undefined && pids.includes(pid)) {
				connection.blackhole();
			}
		}

		if (pids.length === 0) {
			this._destroyBlackholedSockets();
		}
	}

	dispose(): void {
		this._server?.close();
		this._destroyBlackholedSockets();
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
			// A reset by the client is handled by the close event.
		});
		const pids = this._options.listPids?.() ?? [];
		const pid = pids.length === 0 ? undefined : await findSocketOwner(socket.remotePort ?? 0, pids);
		const fault = this._fault;
		if (fault?.kind === ProxyFaultKind.Reset) {
			socket.resetAndDestroy();
			return;
		}

		if (fault?.kind === ProxyFaultKind.Blackhole || (pid !== undefined && this._partitionedPids.includes(pid))) {
			this._blackhole(socket);
			return;
		}

		this._openConnection(socket, pid, fault);
	}

	private _openConnection(client: Socket, pid: number | undefined, fault: ProxyFault | undefined): void {
		const connection = new ProxiedConnection({
			client,
			host: this._options.host,
			port: this._options.port,
			delayMs: fault?.kind === ProxyFaultKind.Delay ? fault.delayMs : 0,
			truncateAfterBytes: fault?.kind === ProxyFaultKind.Truncate ? fault.afterBytes : Number.POSITIVE_INFINITY,
		});
		this._connections.set(connection, pid);
		connection.onClosed(() => {
			this._connections.delete(connection);
		});
	}

	private _blackhole(socket: Socket): void {
		this._blackholedSockets.add(socket);
		socket.resume();
		socket.once('close', () => {
			this._blackholedSockets.delete(socket);
		});
	}

	private _destroyBlackholedSockets(): void {
		for (const socket of this._blackholedSockets) {
			socket.destroy();
		}

		this._blackholedSockets.clear();
	}
}
