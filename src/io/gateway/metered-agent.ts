import {Agent, type AgentOptions, type ClientRequestArgs} from 'node:http';
import {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import type {ByteMeter} from './byte-meter.js';

/** HTTP agent with keep-alive whose connections are counted by a byte meter. */
export class MeteredAgent extends Agent {
	constructor(options: AgentOptions, private readonly _meter: ByteMeter) {
		super({...options, keepAlive: true});
	}

	override createConnection(options: ClientRequestArgs, callback?: (error: Error | null, stream: Duplex) => void): Duplex | null | undefined { // eslint-disable-line @typescript-eslint/no-restricted-types
		const socket = super.createConnection(options, callback);
		if (socket instanceof Socket) {
			this._meter.add(socket);
		}

		return socket;
	}
}
