import {maxScarcityLevel} from './max-scarcity-level.js';

/** Time constant of the moving average of looks, in ms; the level has to rise within two seconds. */
const averageMs = 1000;
/** Largest weight of one look, which bounds the noise of an instance with few requests below the hysteresis. */
const maxLookWeight = 0.25;
/** Share of failed looks from which the level rises by a step, for each level. */
const riseShares = [0.3, 0.45, 0.6, 0.75];
/** Distance below the share at which a step was taken, below which it is taken back. */
const hysteresis = 0.2;
/** Shortest time between two steps up, in ms. */
const riseIntervalMs = 250;
/** Time for which the share has to stay low before a step down, in ms. */
const fallIntervalMs = 1000;
/** Level at which late requests still look for slots regularly. */
const slightLevel = 1;
/** Time without looks and refusals after which the level is 0, in ms, since nothing is known then. */
const idleMs = 5000;

/** Level of the shortage of one service, from 0 to `maxScarcityLevel`. It follows the share of requests that found no slot at their first look at the targets; it rises within two seconds and falls slowly. */
export class ScarcityLevel {
	private _failedShare = 0;
	private _lookedAt = Number.NEGATIVE_INFINITY;
	/** Time of the last look or refusal, in ms. */
	private _activeAt = Number.NEGATIVE_INFINITY;
	private _level = 0;
	private _steppedAt = Number.NEGATIVE_INFINITY;
	/** Since when the share has been low enough for a step down, in ms; undefined while it is not. */
	private _lowSince: number | undefined;

	/** Share of recent looks that found no slot, 0 to 1. */
	get failedShare(): number {
		return this._failedShare;
	}

	/** Records whether a request found an acceptable slot at its first look at the targets. */
	noteLook(isFound: boolean, now: number): void {
		const weight = Math.min(maxLookWeight, 1 - Math.exp((this._lookedAt - now) / averageMs));
		this._failedShare += ((isFound ? 0 : 1) - this._failedShare) * weight;
		this._lookedAt = now;
		this._activeAt = now;
	}

	/** Records a request that was refused without a look because of the level. Refusals must not let the level fall for lack of looks: it would rise again with the first requests that are let in. */
	noteRefusal(now: number): void {
		this._activeAt = now;
	}

	/** Moves the level by a step if it is due, and returns it. */
	update(now: number): number {
		if (now - this._activeAt >= idleMs) {
			this._failedShare = 0;
			this._level = 0;
		}

		const share = this._failedShare;
		if (this._level < maxScarcityLevel && share >= riseShares[this._level]!) {
			this._lowSince = undefined;
			if (now - this._steppedAt >= riseIntervalMs) {
				this._step(1, now);
			}
		} else if (this._level > 0 && share < riseShares[this._level - 1]! - hysteresis) {
			this._lowSince ??= now;
			if (now - this._lowSince >= fallIntervalMs) {
				this._lowSince = now;
				this._step(-1, now);
			}
		} else {
			this._lowSince = undefined;
		}

		return this._level;
	}

	/** Creates a copy whose changes do not reach this one, for a dry run. */
	createCopy(): ScarcityLevel {
		const copy = new ScarcityLevel();
		copy._failedShare = this._failedShare;
		copy._lookedAt = this._lookedAt;
		copy._activeAt = this._activeAt;
		copy._level = this._level;
		copy._steppedAt = this._steppedAt;
		copy._lowSince = this._lowSince;
		return copy;
	}

	/** Computes the time until late requests regularly find a slot again if the shortage ends now, in ms. */
	computeFallMs(): number {
		return Math.max(0, this._level - slightLevel) * fallIntervalMs;
	}

	private _step(change: number, now: number): void {
		this._level += change;
		this._steppedAt = now;
	}
}
