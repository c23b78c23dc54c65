import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import type {Writable} from 'node:stream';
import {err, ok, type Result} from 'neverthrow';
import {Emitter} from '../common/emitter.js';

/** Flow control of the connection that an answer arrives on. */
type Flow = {
	pause(): void;
	resume(): void;
	abort(reason: Error): void;
};

/** Bytes of an answer that are held before its receiver is known. */
const holdLimitBytes = 65_536;

/** The body of a target's answer as it arrives, with back-pressure towards the target. */
export class AnswerBody {
	/** Creates a body that has already arrived. */
	static createWhole(bytes: Uint8Array): AnswerBody {
		const body = new AnswerBody({pause() {}, resume() {}, abort() {}}); // eslint-disable-line @typescript-eslint/no-empty-function
		body.push(bytes);
		body.end();
		return body;
	}

	private readonly _held: Uint8Array[] = [];
	private _heldBytes = 0;
	private _sink: Writable | undefined;
	private _isEnded = false;
	private _isDiscarded = false;
	private _captured: Uint8Array[] | undefined;
	private _captureLeft = 0;
	private _error: Error | undefined;
	private readonly _onSettled = new Emitter<boolean>();
	private _settle: ((result: Result<void, Error>) => void) | undefined;

	constructor(private readonly _flow: Flow) {}

	/** Fires once: true when every byte has arrived, false when the answer was cut. */
	get onSettled() {
		return this._onSettled.event;
	}

	/** True when every byte has arrived. */
	get isWhole(): boolean {
		return this._isEnded;
	}

	/** The bytes asked for by `capture`; undefined when there were more. */
	get captured(): Uint8Array | undefined {
		return this._captured === undefined ? undefined : Buffer.concat(this._captured);
	}

	/** Keeps a copy of the body, unless it has more bytes than the limit. */
	capture(limitBytes: number): void {
		this._captured = [];
		this._captureLeft = limitBytes;
		for (const chunk of this._held) {
			this._captureChunk(chunk);
		}
	}

	/** Takes a chunk from the connection. */
	push(chunk: Uint8Array): void {
		if (this._isDiscarded) {
			return;
		}

		this._captureChunk(chunk);
		if (this._sink !== undefined) {
			this._write(this._sink, chunk);
			return;
		}

		this._held.push(chunk);
		this._heldBytes += chunk.length;
		if (this._heldBytes >= holdLimitBytes) {
			this._flow.pause();
		}
	}

	/** Marks the body whole. */
	end(): void {
		this._isEnded = true;
		this._onSettled.fire(true);
		if (this._sink !== undefined) {
			this._sink.end();
			this._settle?.(ok());
		}
	}

	/** Marks the body cut; the sink is destroyed, so that its reader sees that the answer is not whole. */
	fail(error: Error): void {
		this._error = error;
		this._onSettled.fire(false);
		if (this._sink !== undefined) {
			this._sink.destroy();
			this._settle?.(err(error));
		}
	}

	/** Writes the body to a sink and ends it; an error means that the answer was cut. */
	async pipeTo(sink: Writable): Promise<Result<void, Error>> {
		if (this._error !== undefined) {
			sink.destroy();
			return err(this._error);
		}

		if (this._isEnded) {
			sink.end(this._held.length === 1 ? this._held[0] : Buffer.concat(this._held));
			return ok();
		}

		this._sink = sink;
		const settled = new Promise<Result<void, Error>>(resolve => {
			this._settle = resolve;
		});
		for (const chunk of this._held.splice(0)) {
			this._write(sink, chunk);
		}

		this._flow.resume();
		return settled;
	}

	/** Reads the rest of the body and drops it. */
	discard(): void {
		this._isDiscarded = true;
		this._held.length = 0;
		this._flow.resume();
	}

	private _captureChunk(chunk: Uint8Array): void {
		this._captureLeft -= chunk.length;
		if (this._captureLeft < 0) {
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
