import type {Clock} from '../../common/clock.js';
import type {Logger} from '../../common/logger.js';

type Fields = Readonly<Record<string, unknown>>;
type EventCount = {windowStartedAt: number; written: number; omitted: number};

type RateLimitedLoggerOptions = {
	readonly logger: Logger;
	readonly clock: Clock;
	/** Maximum number of lines written per event and second. */
	readonly linesPerSecond: number;
};

const windowMs = 1000;

/** Limits the number of lines logged per event and second; the first line after omitted ones states their number as `omittedLines`. */
export class RateLimitedLogger implements Logger {
	private readonly _counts = new Map<string, EventCount>();

	constructor(private readonly _options: RateLimitedLoggerOptions) {}

	logError(event: string, fields: Fields = {}): void {
		this._write(event, fields, loggedFields => {
			this._options.logger.logError(event, loggedFields);
		});
	}

	logInfo(event: string, fields: Fields = {}): void {
		this._write(event, fields, loggedFields => {
			this._options.logger.logInfo(event, loggedFields);
		});
	}

	logDebug(event: string, fields: Fields = {}): void {
		this._write(event, fields, loggedFields => {
			this._options.logger.logDebug(event, loggedFields);
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
