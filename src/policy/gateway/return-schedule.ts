import {minRetryAfterMs} from './min-retry-after-ms.js';

type Refusal = {
	readonly now: number;
	/** Expected time until a slot is free for the request, in ms. */
	readonly waitMs: number;
	/** Expected time between two slots that become free for the queue, in ms. */
	readonly msPerSlot: number;
	readonly deadlineAt: number;
};

/** Callers follow a retry-after time only up to this fraction of the time that they have left. */
const maxTimeLeftFraction = 1 / 3;
/** Largest random addition to a time of return, as a factor of the time between slots, so that callers of different instances do not return together. */
const jitterFactor = 0.5;

/** Times at which the refused requests of a service return: spread by the rate at which slots become free, the first refused first. */
export class ReturnSchedule {
	/** @param _lastReturnAt - Time at which the last refused request returns, in ms. */
	constructor(private readonly _random: () => number, private _lastReturnAt = Number.NEGATIVE_INFINITY) {}

	/** Creates a copy whose changes do not reach this one, for a dry run. It adds nothing at random. */
	createCopy(): ReturnSchedule {
		return new ReturnSchedule(() => 0, this._lastReturnAt);
	}

	/** Computes the retry-after time of a request that is refused now, in ms. */
	schedule({now, waitMs, msPerSlot, deadlineAt}: Refusal): number {
		const earliestAt = Math.max(now + Math.max(minRetryAfterMs, waitMs), this._lastReturnAt + msPerSlot);
		const retryAfterMs = earliestAt - now + (this._random() * msPerSlot * jitterFactor);
		const cappedMs = Math.max(minRetryAfterMs, Math.min(retryAfterMs, (deadlineAt - now) * maxTimeLeftFraction));
		this._lastReturnAt = Math.max(this._lastReturnAt, now + cappedMs);
		return cappedMs;
	}
}
