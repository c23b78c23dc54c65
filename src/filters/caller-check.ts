import type {Arrival} from '../common/arrival.js';
import type {Clock} from '../common/clock.js';
import type {TurnWatch} from '../controllers/turn-watch.js';

type CallerCheckOptions = {
	readonly turns: Pick<TurnWatch, 'readUntil' | 'waitUntilRead'>;
	readonly clock: Clock;
};

/** Age up to which what was read from callers counts as the present, in ms: well below the half second after which work for a caller that left is a fault. */
const recentReadAgeMs = 50;
/** Age above which the event loop is too far behind to tell who is still there, in ms: half of that half second. */
const maxReadAgeMs = 250;

/** Makes sure that what is known of a caller is recent before its request is sent. */
export class CallerCheck {
	constructor(private readonly _options: CallerCheckOptions) {}

	/** Reads from callers once more unless that was done lately; false when this takes so long that the caller may have left again. */
	async confirm(context: Pick<Arrival, 'readAt'>): Promise<boolean> {
		const {turns} = this._options;
		if (turns.readUntil >= context.readAt && this.getAge() <= recentReadAgeMs) {
			return true;
		}

		await turns.waitUntilRead();
		return this.getAge() <= maxReadAgeMs;
	}

	/** Age of what was last read from callers, in ms. */
	getAge(): number {
		return this._options.clock.now() - this._options.turns.readUntil;
	}
}
