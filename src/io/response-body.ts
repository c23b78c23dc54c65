import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import type {Writable} from 'node:stream';
import {err, ok, type Result} from 'neverthrow';
import {Emitter} from '../common/emitter.js';

/** Flow control of the connection that delivers the response. */
type FlowControl = {
	pause(): void;
	resume(): void;
	abort(reason: Error): void;
};

/** Bytes buffered before a sink is attached; at this size the connection is paused. */
const maxBufferedBytes = 65_536;

/** The body of a target's response, streamed to a sink with backpressure to the target. */
export class ResponseBody {
	/** Creates a complete body from bytes already in memory. */
	static createComplete(bytes: Uint8Array): ResponseBody {
		const body = new ResponseBody({pause() {}, resume() {}, abort() {}}); // eslint-disable-line @typescript-eslint/no-empty-function
		body.push(bytes);
		body.end();
		return body;
	}

	private readonly _bufferedChunks: Uint8Array[] = [];
	private _bufferedBytes = 0;
	private _sink: Writable | undefined;
	private _isComplete = false;
	private _isDiscarded = false;
	private _captured: Uint8Array[] | undefined;
	private _captureBytesLeft = 0;
	private _error: Error | undefined;
	private readonly _onSettled = new Emitter<boolean>();
	private _resolvePipe: ((result: Result<void, Error>) => void) | undefined;

	constructor(private readonly _flow: FlowControl) {}

	/** Fires once: true when every byte has arrived, false when the response was truncated. */
	get onSettled() {
		return this._onSettled.event;
	}

	/** True when every byte has arrived. */
	get isComplete(): boolean {
		return this._isComplete;
	}

	/** Copy of the body made by `capture`; undefined without `capture` or when the body exceeds its limit. */
	get captured(): Uint8Array | undefined {
		return this._captured === undefined ? undefined : Buffer.concat(this._captured);
	}

	/** Keeps a copy of the body unless it exceeds the limit. Call it before the body is piped or discarded: only chunks still buffered are copied. */
	capture(limitBytes: number): void {
		this._captured = [];
		this._captureBytesLeft = limitBytes;
		for (const chunk of this._bufferedChunks) {
			this._captureChunk(chunk);
		}
	}

	/** Adds a chunk received from the connection. */
	push(chunk: Uint8Array): void {
		if (this._isDiscarded) {
			return;
		}

		this._captureChunk(chunk);
		if (this._sink !== undefined) {
			this._write(this._sink, chunk);
			return;
		}

		this._bufferedChunks.push(chunk);
		this._bufferedBytes += chunk.length;
		if (this._bufferedBytes >= maxBufferedBytes) {
			this._flow.pause();
		}
	}

	/** Marks the body complete. */
	end(): void {
		this._isComplete = true;
		this._onSettled.fire(true);
		if (this._sink !== undefined) {
			this._sink.end();
			this._resolvePipe?.(ok());
		}
	}

	/** Marks the body truncated and destroys the sink, so that its reader does not take the response for complete. */
	fail(error: Error): void {
		this._error = error;
		this._onSettled.fire(false);
		if (this._sink !== undefined) {
			this._sink.destroy();
			this._resolvePipe?.(err(error));
		}
	}

	/** Writes the body to a sink and ends it; resolves with an error when the response is truncated. */
	async pipeTo(sink: Writable): Promise<Result<void, Error>> {
		if (this._error !== undefined) {
			sink.destroy();
			return err(this._error);
		}

		if (this._isComplete) {
			sink.end(this._bufferedChunks.length === 1 ? this._bufferedChunks[0] : Buffer.concat(this._bufferedChunks));
			return ok();
		}

		this._sink = sink;
		const settled = new Promise<Result<void, Error>>(resolve => {
			this._resolvePipe = resolve;
		});
		for (const chunk of this._bufferedChunks.splice(0)) {
			this._write(sink, chunk);
		}

		this._flow.resume();
		return settled;
	}

	/** Reads and drops the rest of the body, so that the connection can be reused. */
	discard(): void {
		this._isDiscarded = true;
		this._bufferedChunks.length = 0;
		this._flow.resume();
	}

	private _captureChunk(chunk: Uint8Array): void {
		this._captureBytesLeft -= chunk.length;
		if (this._captureBytesLeft < 0) {
			this._captured = undefined;
		}

		this._captured?.push(chunk);
	}

	private _write(sink: Writable, chunk: Uint8Array): void {
		if (!sink.write(chunk)) {
			this._flow.pause();
			void this._resumeAfterDrain(sink);
		}
	}

	private async _resumeAfterDrain(sink: Writable): Promise<void> {
		try {
			await once(sink, 'drain');
			this._flow.resume();
		} catch (error) {
			this._flow.abort(error as Error);
		}
	}
}
