import {
	createServer, type IncomingMessage, type Server, type ServerOptions, type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {err, ok, type Result} from 'neverthrow';
import type {DisposableLike} from '../common/disposable-like.js';
import {ErrorKind} from '../common/error-kind.js';
import type {Logger} from '../common/logger.js';
import {RequestError} from '../common/request-error.js';
import {DebugLogger} from './debug-logger.js';
import {describeFailure} from './describe-failure.js';
import {writeProblem} from './write-problem.js';

type Address = {readonly host: string; readonly port: number};

type RequestHandler = (request: IncomingMessage, response: ServerResponse) => void | Promise<void>;

/** An HTTP server together with its listening socket. An exception of the handler ends its own request only. */
export class HttpListener implements DisposableLike {
	/** The underlying server, for events and options that this class does not wrap. */
	readonly server: Server;

	/**
	@param _handler - Handles the requests; may throw or reject.
	@param _logger - Receives exceptions of the handler and errors of the listening socket.
	*/
	constructor(options: ServerOptions, private readonly _handler: RequestHandler, private readonly _logger: Pick<Logger, 'logError'> = new DebugLogger('', 'listener')) {
		this.server = createServer(options, (request, response) => {
			void this._handle(request, response);
		});
	}

	/** The bound port, which the system chooses when port 0 is requested; 0 when not listening. */
	get port(): number {
		return (this.server.address() as AddressInfo | undefined)?.port ?? 0;
	}

	/** Tries once to start listening; the error has the system's code, and its message contains the address. */
	async listen(address: Address): Promise<Result<void, Error>> {
		return new Promise(resolve => {
			const handleError = (error: NodeJS.ErrnoException) => {
				this.server.off('error', handleError);
				this.server.off('listening', handleListening);
				resolve(err(Object.assign(new Error(`cannot listen on ${address.host}:${address.port}: ${error.message}`), {code: error.code})));
			};

			const handleListening = () => {
				this.server.off('error', handleError);
				// Without a listener, a connection that cannot be accepted would end the process.
				this.server.on('error', error => {
					this._logFailure(error);
				});
				resolve(ok());
			};

			this.server.once('error', handleError);
			this.server.once('listening', handleListening);
			try {
				this.server.listen(address.port, address.host);
			} catch (error) {
				// A port out of range is thrown.
				handleError(error as NodeJS.ErrnoException);
			}
		});
	}

	dispose(): void {
		this.server.close();
		this.server.closeAllConnections();
	}

	private async _handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		try {
			await this._handler(request, response);
		} catch (error) {
			this._logFailure(error);
			writeProblem({request, response}, new RequestError(ErrorKind.InternalDispatched, 'the request could not be handled'));
		}
	}

	private _logFailure(error: unknown): void {
		this._logger.logError('listener-failed', {port: this.port, detail: describeFailure(error).detail});
	}
}
