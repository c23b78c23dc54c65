import type {Clock} from '../../common/clock.js';
import type {ResponseHold} from './response-hold.js';

type Holder = {
	bytes: number;
	evictableAt: number;
	handleEviction: () => void;
};

type ResponseMemoryOptions = {
	/** Returns the maximum memory of all buffered responses together, in bytes. */
	readonly getLimitBytes: () => number;
	readonly clock: Clock;
	/** Called after a response of this size was given up. */
	readonly onEvicted: (bytes: number) => void;
};

/**
Limits the memory that buffered responses take together. When it is exhausted, the largest response is given up, so that targets that send
without end do not keep the others' responses from their callers. Answers bursts of large responses, on an instance of any size.
*/
export class ResponseMemory {
	private readonly _holders = new Set<Holder>();
	private _heldBytes = 0;

	constructor(private readonly _options: ResponseMemoryOptions) {}

	/** Bytes that are held by all responses. */
	get heldBytes(): number {
		return this._heldBytes;
	}

	/** Creates the hold of one response, without memory at first and not given up for others until it says how. */
	createHold(): ResponseHold {
		const holder: Holder = {bytes: 0, evictableAt: Number.POSITIVE_INFINITY, handleEviction: () => undefined};
		this._holders.add(holder);
		return {
			get bytes() {
				return holder.bytes;
			},
			resize: bytes => this._resize(holder, bytes),
			setEviction(evictableAt, handleEviction) {
				holder.evictableAt = evictableAt;
				holder.handleEviction = handleEviction;
			},
			release: () => {
				this._remove(holder);
			},
		};
	}

	private _resize(holder: Holder, bytes: number): boolean {
		if (!this._holders.has(holder)) {
			return false;
		}

		while (this._heldBytes - holder.bytes + bytes > this._options.getLimitBytes()) {
			const largest = this._findLargest(holder);
			if (largest === undefined || largest.bytes <= bytes) {
				return false;
			}

			this._evict(largest);
		}

		this._heldBytes += bytes - holder.bytes;
		holder.bytes = bytes;
		return true;
	}

	private _findLargest(excluded: Holder): Holder | undefined {
		const now = this._options.clock.now();
		let largest: Holder | undefined;
		for (const holder of this._holders) {
			if (holder !== excluded && holder.evictableAt <= now && holder.bytes > (largest?.bytes ?? 0)) {
				largest = holder;
			}
		}

		return largest;
	}

	private _evict(holder: Holder): void {
		const {bytes} = holder;
		this._remove(holder);
		this._options.onEvicted(bytes);
		holder.handleEviction();
	}

	private _remove(holder: Holder): void {
		if (this._holders.delete(holder)) {
			this._heldBytes -= holder.bytes;
			holder.bytes = 0;
		}
	}
}
