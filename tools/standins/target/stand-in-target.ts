import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import type {DisposableLike} from '../../../src/common/disposable-like.js';
import {HttpListener} from '../../../src/io/http-listener.js';

type StandInTargetOptions = {
	/** Name that the target writes into its answers. */
	readonly id: string;
	/** Requests that run at the same time; more wait. */
	readonly slots: number;
	/** Time that a request occupies a slot, in ms. */
	readonly serviceTimeMs: (request: IncomingMessage) => number;
};

/** A small stand-in for a target: it answers after a service time, with a limited number of slots. */
export class StandInTarget implements DisposableLike {
	readonly listener = new HttpListener({keepAliveTimeout: 60_000}, (request, response) => {
		void this._answer(request, response);
	});

	private readonly _waiting: Array<() => void> = [];
	private _inFlight = 0;

	constructor(private readonly _options: StandInTargetOptions) {}

	dispose(): void {
		this.listener.dispose();
	}

	private async _answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
		if (request.url === '/load') {
			response.end(JSON.stringify({inFlight: this._inFlight, queued: this._waiting.length, draining: false}));
			return;
		}

		request.resume();
		await this._enter();
		await sleep(this._options.serviceTimeMs(request));
		this._leave();
		const body = `${JSON.stringify({target: this._options.id, path: request.url})}\n`;
		response.writeHead(200, {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)});
		response.end(body);
	}

	private async _enter(): Promise<void> {
		if (this._inFlight < this._options.slots) {
			this._inFlight++;
			return;
		}

		await new Promise<void>(resolve => {
			this._waiting.push(resolve);
		});
	}

	private _leave(): void {
		const next = this._waiting.shift();
		if (next === undefined) {
			this._inFlight--;
		} else {
			next();
		}
	}
}
