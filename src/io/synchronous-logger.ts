import {writeSync} from 'node:fs';
import process from 'node:process';
import type {Logger} from '../common/logger.js';

type DescriptorStream = NodeJS.WriteStream & {readonly fd: number};
type Fields = Readonly<Record<string, unknown>>;

/** Time for which the lines of a process wait for a reader that does not read, in ms. */
const maxWaitMs = 1000;
/** Pause before the next attempt to write to a reader that is slow, in ms. */
const retryPauseMs = 5;

/**
Writes events as JSON lines before the call returns, for the first and last lines of a process, whose `pid` they state. A reader that is
slow is waited for, one that is gone or has stopped reading loses the lines.
*/
export class SynchronousLogger implements Logger {
	private readonly _pauseCell = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));
	private readonly _encoder = new TextEncoder();
	private _waitedMs = 0;

	constructor(private readonly _stream: DescriptorStream, private readonly _component: string) {}

	logError(event: string, fields: Fields = {}): void {
		this._write('error', event, fields);
	}

	logInfo(event: string, fields: Fields = {}): void {
		this._write('info', event, fields);
	}

	logDebug(event: string, fields: Fields = {}): void {
		this._write('debug', event, fields);
	}

	private _write(level: string, event: string, fields: Fields): void {
		const line = JSON.stringify({
			time: new Date().toISOString(), level, pid: process.pid, component: this._component, event, ...fields,
		});
		// A line that the stream has written in part is ended first.
		let rest = this._encoder.encode(`${this._stream.writableLength > 0 ? '\n' : ''}${line}\n`);
		while (rest.length > 0) {
			const written = this._tryWrite(rest);
			if (written === undefined) {
				return;
			}

			rest = rest.subarray(written);
		}
	}

	/** Writes as many bytes as the reader takes; undefined when it takes no more. */
	private _tryWrite(bytes: Uint8Array): number | undefined {
		try {
			return writeSync(this._stream.fd, bytes);
		} catch (error) {
			if (!(error instanceof Error && 'code' in error && error.code === 'EAGAIN') || this._waitedMs >= maxWaitMs) {
				return undefined;
			}

			Atomics.wait(this._pauseCell, 0, 0, retryPauseMs);
			this._waitedMs += retryPauseMs;
			return 0;
		}
	}
}
