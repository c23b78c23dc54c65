import {connect as connectTcp, type Socket} from 'node:net';
import {connect as connectTls} from 'node:tls';
import {err, ok, type Result} from 'neverthrow';
import type {Clock} from '../common/clock.js';
import type {TargetSpec} from '../common/target-spec.js';
import {TargetConnection} from './target-connection.js';

type OpenOptions = {
	readonly target: TargetSpec;
	readonly timeoutMs: number;
	readonly clock: Clock;
	/** Certificate authority as PEM, the system's own when undefined; no TLS without this object. */
	readonly tls: {readonly ca: string | undefined} | undefined;
};

const keepAliveDelayMs = 1000;

const createSocket = ({target, tls}: OpenOptions): Socket => {
	const {host, port} = target;
	return tls === undefined
		? connectTcp({host, port, noDelay: true})
		: connectTls({host, port, ca: tls.ca}).setNoDelay(true);
};

/** Opens a connection to a target; an error proves that nothing was sent. */
export const openConnection = async (options: OpenOptions): Promise<Result<TargetConnection, Error>> => new Promise(resolve => {
	const {target, timeoutMs, clock, tls} = options;
	const socket = createSocket(options);
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
		// The library that takes the socket over listens for errors only while a request runs.
		socket.on('error', () => undefined);
		socket.setKeepAlive(true, keepAliveDelayMs);
		resolve(ok(new TargetConnection(`${tls === undefined ? 'http' : 'https'}://${target.host}:${target.port}`, socket, clock)));
	});
});
