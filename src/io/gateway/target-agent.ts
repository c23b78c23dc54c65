import {Agent, type AgentOptions, type ClientRequest} from 'node:http';
import type {Duplex} from 'node:stream';

/** Keeps connections to one target and closes an idle one on which bytes arrive: they belong to no request. */
export class TargetAgent extends Agent {
	private readonly _guards = new WeakMap<Duplex, () => void>();

	constructor(options: AgentOptions) {
		super({...options, keepAlive: true, scheduling: 'lifo'});
	}

	override keepSocketAlive(socket: Duplex): boolean {
		// The library's type says void, its documentation boolean.
		const keep = super.keepSocketAlive.bind(this) as unknown as (socket: Duplex) => boolean;
		const isKept = keep(socket);
		if (isKept) {
			const closeConnection = () => {
				socket.destroy();
			};

			this._guards.set(socket, closeConnection);
			socket.on('data', closeConnection);
		}

		return isKept;
	}

	override reuseSocket(socket: Duplex, request: ClientRequest): void {
		const guard = this._guards.get(socket);
		if (guard !== undefined) {
			socket.off('data', guard);
			this._guards.delete(socket);
		}

		super.reuseSocket(socket, request);
	}
}
