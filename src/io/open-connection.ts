import {connect} from 'node:net';
import {err, ok, type Result} from 'neverthrow';
import type {Clock} from '../common/clock.js';
import type {TargetSpec} from '../common/target-spec.js';
import {TargetConnection} from './target-connection.js';

/** Opens a connection to a target; an error proves that nothing was sent. */
export const openConnection = async (target: TargetSpec, timeoutMs: number, clock: Clock): Promise<Result<TargetConnection, Error>> => new Promise(resolve => {
	const socket = connect({
		host: target.host, port: target.port, noDelay: true, timeout: timeoutMs,
	});
	const fail = (error: Error) => {
		socket.destroy();
		resolve(err(error));
	};

	const failOnTimeout = () => {
		fail(new Error(`no connection to ${target.host}:${target.port} within ${timeoutMs} ms`));
	};

	socket.once('error', fail);
	socket.once('timeout', failOnTimeout);
	socket.once('connect', () => {
		socket.off('error', fail);
		socket.off('timeout', failOnTimeout);
		socket.setTimeout(0);
		// The library that takes the socket over listens for errors only while a request runs.
		socket.on('error', () => undefined);
		resolve(ok(new TargetConnection(`http://${target.host}:${target.port}`, socket, clock)));
	});
});
