import {connect as connectTcp, type Socket} from 'node:net';
import {connect as connectTls} from 'node:tls';
import {
	err, fromThrowable, ok, type Result,
} from 'neverthrow';
import type {Clock} from '../common/clock.js';
import type {TargetSpec} from '../common/target-spec.js';
import {TargetConnection} from './target-connection.js';

type OpenOptions = {
	readonly target: TargetSpec;
	readonly timeoutMs: number;
	readonly clock: Clock;
	/** TLS options; plain TCP when undefined. `ca` is a certificate authority in PEM format, the default ones apply when undefined. */
	readonly tls: {readonly ca: string | undefined} | undefined;
};

const tcpKeepAliveDelayMs = 1000;

const createSocket = ({target, tls}: OpenOptions): Socket => {
	const {host, port} = target;
	return tls === undefined
		? connectTcp({host, port, noDelay: true})
		: connectTls({host, port, ca: tls.ca}).setNoDelay(true);
};

/** Opens a connection to a target; on an error, nothing of a request has been sent. */
export const openConnection = async (options: OpenOptions): Promise<Result<TargetConnection, Error>> => new Promise(resolve => {
	const {target, timeoutMs, clock, tls} = options;
	// Node.js throws for an address or a certificate authority that cannot be used.
	const created = fromThrowable(() => createSocket(options), error => error as Error)();
	if (created.isErr()) {
		resolve(err(created.error));
		return;
	}

	const socket = created.value;
	const fail = (error: Error) => {
		clearTimeout(timer);
		socket.destroy();
		resolve(err(error));
	};

	const timer = setTimeout(() => {
		fail(new Error(`no connection to ${target.host}:${target.port} within ${timeoutMs} ms`));
	}, timeoutMs);
	socket.on('error', fail);
	socket.once(tls === undefined ? 'connect' : 'secureConnect', () => {
		clearTimeout(timer);
		socket.off('error', fail);
		// Undici listens for socket errors only while a request is in progress; without a listener, an error on an idle socket would end the process.
		socket.on('error', () => undefined);
		socket.setKeepAlive(true, tcpKeepAliveDelayMs);
		const connection = fromThrowable(() => new TargetConnection(`${tls === undefined ? 'http' : 'https'}://${target.host}:${target.port}`, socket, clock), error => error as Error)();
		if (connection.isErr()) {
			fail(connection.error);
		} else {
			resolve(ok(connection.value));
		}
	});
});
