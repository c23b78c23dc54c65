import {
	createServer, type RequestListener, type Server, type ServerOptions,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {err, ok, type Result} from 'neverthrow';
import type {DisposableLike} from '../common/disposable-like.js';

type Address = {readonly host: string; readonly port: number};

/** An HTTP server that owns its listening socket. */
export class HttpListener implements DisposableLike {
	/** The underlying server, for settings that have no method here. */
	readonly server: Server;

	constructor(options: ServerOptions, handler: RequestListener) {
		this.server = createServer(options, handler);
	}

	/** The port in use; the one chosen by the system where 0 was asked for. */
	get port(): number {
		return (this.server.address() as AddressInfo | undefined)?.port ?? 0;
	}

	/** Starts listening; an error names the address. */
	async listen(address: Address): Promise<Result<void, Error>> {
		return new Promise(resolve => {
			const fail = (error: Error) => {
				resolve(err(new Error(`cannot listen on ${address.host}:${address.port}: ${error.message}`)));
			};

			this.server.once('error', fail);
			this.server.listen(address.port, address.host, () => {
				this.server.off('error', fail);
				resolve(ok());
			});
		});
	}

	dispose(): void {
		this.server.close();
		this.server.closeAllConnections();
	}
}
