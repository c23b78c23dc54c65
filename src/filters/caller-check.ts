import type {Arrival} from '../common/arrival.js';
import type {Clock} from '../common/clock.js';
import type {SocketReadTracker} from '../controllers/socket-read-tracker.js';

type CallerCheckOptions = {
	readonly readTracker: Pick<SocketReadTracker, 'readUntil' | 'waitUntilRead'>;
	readonly clock: Clock;
};

/** Age up to which the last read of the callers' connections counts as current, in ms; well below the 500 ms after which work for a disconnected caller is a fault. */
const recentReadAgeMs = 50;
/** Age above which the event loop is too far behind to tell which callers are still connected, in ms; half of those 500 ms. */
const maxReadAgeMs = 250;

/** Checks, before a request is sent, that the callers' connections were read recently enough to show whether its caller is still connected. */
export class CallerCheck {
	constructor(private readonly _options: CallerCheckOptions) {}

	/** Waits for the next read of the callers' connections unless the last one is recent; resolves with false if this takes so long that the caller may have disconnected since. */
	async confirm(context: Pick<Arrival, 'readAt'>): Promise<boolean> {
		const {readTracker} = this._options;
		if (readTracker.readUntil >= context.readAt && this.getAgeMs() <= recentReadAgeMs) {
			return true;
		}

		await readTracker.waitUntilRead();
		return this.getAgeMs() <= maxReadAgeMs;
	}

	/** Time since the callers' connections were last read, in ms. */
	getAgeMs(): number {
		return this._options.clock.now() - this._options.readTracker.readUntil;
	}
}
