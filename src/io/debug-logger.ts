import process from 'node:process';
import {format} from 'node:util';
import createDebug, {type Debugger} from 'debug';
import type {Logger} from '../common/logger.js';

type Fields = Readonly<Record<string, unknown>>;

/** Limit on log output buffered for a slow reader; further lines are dropped. */
const maxBufferedBytes = 1_048_576;

const describeField = (_key: string, value: unknown): unknown => value instanceof Error ? value.message : value;

/**
Writes events as JSON lines through the `debug` library.
Each event goes to the namespace `rattansill:<component>:<level>`, which the settings enable or disable.
*/
export class DebugLogger implements Logger {
	/**
	Enables the namespaces to print, for the whole process.
	@param stream - Destination of the log lines; standard error by default.
	*/
	static enableNamespaces(namespaces: string, stream: NodeJS.WriteStream = process.stderr): void {
		createDebug.formatArgs = () => undefined;
		// Without a listener, a write error such as EPIPE from a closed reader would end the process.
		stream.on('error', () => undefined);
		createDebug.log = (...parts: unknown[]) => {
			// A reader that has stopped reading must not make memory grow, so lines above the limit are dropped.
			if (stream.writableLength < maxBufferedBytes) {
				stream.write(`${format(...parts)}\n`);
			}
		};

		createDebug.enable(namespaces);
	}

	private readonly _error: Debugger;
	private readonly _info: Debugger;
	private readonly _debug: Debugger;

	/**
	@param _instanceId - Written on each line as `instance`.
	@param _component - Written on each line as `component`.
	*/
	constructor(private readonly _instanceId: string, private readonly _component: string) {
		this._error = createDebug(`rattansill:${_component}:error`);
		this._info = createDebug(`rattansill:${_component}:info`);
		this._debug = createDebug(`rattansill:${_component}:debug`);
	}

	logError(event: string, fields: Fields = {}): void {
		this._write(this._error, 'error', event, fields);
	}

	logInfo(event: string, fields: Fields = {}): void {
		this._write(this._info, 'info', event, fields);
	}

	logDebug(event: string, fields: Fields = {}): void {
		this._write(this._debug, 'debug', event, fields);
	}

	private _write(sink: Debugger, level: string, event: string, fields: Fields): void {
		if (!sink.enabled) {
			return;
		}

		const line = {
			time: new Date().toISOString(), level, instance: this._instanceId, component: this._component, event, ...fields,
		};
		// The '%s' keeps the debug library from treating a '%' in the line as a format specifier.
		sink('%s', JSON.stringify(line, describeField));
	}
}
