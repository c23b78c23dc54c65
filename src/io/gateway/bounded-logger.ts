import type {Clock} from '../../common/clock.js';
import type {Logger} from '../../common/logger.js';

type Fields = Readonly<Record<string, unknown>>;
type EventCount = {windowStartedAt: number; written: number; omitted: number};

type BoundedLoggerOptions = {
	readonly logger: Logger;
	readonly clock: Clock;
	/** Lines of one event that are written in a second. */
	readonly linesPerSecond: number;
};

const windowMs = 1000;

/** Passes on a bounded number of lines of each event; the first line after some were left out says how many. */
export class BoundedLogger implements Logger {
	private readonly _counts = new Map<string, EventCount>();

	constructor(private readonly _options: BoundedLoggerOptions) {}

	logError(event: string, fields: Fields = {}): void {
		this._write(event, fields, bounded => {
			this._options.logger.logError(event, bounded);
		});
	}

	logInfo(event: string, fields: Fields = {}): void {
		this._write(event, fields, bounded => {
			this._options.logger.logInfo(event, bounded);
		});
	}

	logDebug(event: string, fields: Fields = {}): void {
		this._write(event, fields, bounded => {
			this._options.logger.logDebug(event, bounded);
		});
	}

	private _write(event: string, fields: Fields, write: (fields: Fields) => void): void {
		const now = this._options.clock.now();
		const count = this._counts.get(event) ?? {windowStartedAt: now, written: 0, omitted: 0};
		this._counts.set(event, count);
		if (now - count.windowStartedAt >= windowMs) {
			count.windowStartedAt = now;
			count.written = 0;
		}

		if (count.written >= this._options.linesPerSecond) {
			count.omitted++;
			return;
		}

		count.written++;
		write(count.omitted > 0 ? {...fields, omittedLines: count.omitted} : fields);
		count.omitted = 0;
	}
}
