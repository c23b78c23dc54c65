import process from 'node:process';
import type {Clock} from '../../common/clock.js';

/** Time for which a reading is used again, in ms; the kernel takes some 20 microseconds for one. */
const reuseMs = 20;

/** Reads the resident memory of this process, at most every few milliseconds. */
export class ResidentMemory {
	private _bytes = 0;
	private _readAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly _clock: Clock) {}

	/** Resident memory, in bytes. */
	get bytes(): number {
		const now = this._clock.now();
		if (now - this._readAt >= reuseMs) {
			this._bytes = process.memoryUsage.rss();
			this._readAt = now;
		}

		return this._bytes;
	}
}
