import {Agent, type AgentOptions, type ClientRequest} from 'node:http';
import type {Duplex} from 'node:stream';

/** HTTP agent for one target. It closes an idle connection on which bytes arrive, since they belong to no request. */
export class TargetAgent extends Agent {
	private readonly _idleDataListeners = new WeakMap<Duplex, () => void>();

	constructor(options: AgentOptions) {
		super({...options, keepAlive: true, scheduling: 'lifo'});
	}

	override keepSocketAlive(socket: Duplex): boolean {
		// Returns a boolean according to the Node documentation, but the types declare void.
		const keepAlive = super.keepSocketAlive.bind(this) as unknown as (socket: Duplex) => boolean;
		const isKept = keepAlive(socket);
		if (isKept) {
			const destroySocket = () => {
				socket.destroy();
			};

			this._idleDataListeners.set(socket, destroySocket);
			socket.on('data', destroySocket);
		}

		return isKept;
	}

	override reuseSocket(socket: Duplex, request: ClientRequest): void {
		const idleDataListener = this._idleDataListeners.get(socket);
		if (idleDataListener !== undefined) {
			socket.off('data', idleDataListener);
			this._idleDataListeners.delete(socket);
		}

		super.reuseSocket(socket, request);
	}
}
