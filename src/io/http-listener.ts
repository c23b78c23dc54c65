import {
	createServer, type RequestListener, type Server, type ServerOptions,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {err, ok, type Result} from 'neverthrow';
import type {DisposableLike} from '../common/disposable-like.js';

type Address = {readonly host: string; readonly port: number};

/** An HTTP server together with its listening socket. */
export class HttpListener implements DisposableLike {
	/** The underlying server, for events and options that this class does not wrap. */
	readonly server: Server;

	constructor(options: ServerOptions, handler: RequestListener) {
		this.server = createServer(options, handler);
	}

	/** The bound port, which the system chooses when port 0 is requested; 0 when not listening. */
	get port(): number {
		return (this.server.address() as AddressInfo | undefined)?.port ?? 0;
	}

	/** Starts listening; the error message contains the address. */
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
