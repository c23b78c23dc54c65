import {AttemptEnd} from '../../common/gateway/attempt-end.js';
import type {GatewayTarget} from '../../common/gateway/gateway-target.js';
import type {TargetLoad} from '../../common/gateway/target-load.js';

/** Weight of the newest result in the failure rate. */
const failureWeight = 0.25;
/** Failure rate from which a target gets no requests for a while: about three failures in a row. */
const ejectFailureRate = 0.55;
/** First time without requests, in ms; doubled with each further one up to the longest. */
const ejectMs = 1000;
const maxEjectMs = 8000;
/** Failure rate that is assumed of a target that has started again under its id: it lost what was in flight. */
const restartFailureRate = 0.4;
/** Time without probes after one that was not answered, in ms. */
const probeTimeoutEjectMs = 250;
/** Time for which a target that called itself failing or leaving is used only when no other is left, in ms. */
const unhealthyMs = 1000;
/** Weight of the newest answer in the measured slowness. */
const durationRatioWeight = 0.2;
const maxDurationRatio = 10;
/** Time in which half of a measured slowness is forgotten, in ms. */
const durationRatioHalfLifeMs = 4000;

/** What this instance knows of one target from its own requests and the target's reports. */
export class TargetRecord {
	/** Requests of this instance that the target has not answered. */
	inFlight = 0;
	private _load: TargetLoad | undefined;
	private _loadAt = Number.NEGATIVE_INFINITY;
	private _failureRate: number;
	private _ejectCount = 0;
	private _ejectedUntil = Number.NEGATIVE_INFINITY;
	private _unhealthyUntil = Number.NEGATIVE_INFINITY;
	private _durationRatio = 1;
	private _durationRatioAt = 0;

	/**
	@param target - The record in the list of targets.
	@param _listedAt - Time at which the target was first listed, in ms.
	@param predecessor - Record of the target's life before, if it is known: one that has restarted once is likely to do so again.
	*/
	constructor(public target: GatewayTarget, private readonly _listedAt: number, predecessor?: TargetRecord) {
		this._failureRate = predecessor === undefined ? 0 : Math.max(predecessor.failureRate, restartFailureRate);
	}

	/** The last report and its age in ms. */
	getLoad(now: number): {readonly load: TargetLoad; readonly ageMs: number} | undefined {
		return this._load === undefined ? undefined : {load: this._load, ageMs: now - this._loadAt};
	}

	get failureRate(): number {
		return this._failureRate;
	}

	/** Whether the target is still slow after its start. */
	isWarming(now: number): boolean {
		return now - this._listedAt < this.target.warmUpLeftMs;
	}

	/** Whether the target gets no requests for now, because of what was seen of it. */
	isBlocked(now: number): boolean {
		return now < this._ejectedUntil;
	}

	/** Time that work takes against what the target's reports promise, as a factor. */
	getSlowness(now: number): number {
		const decay = 0.5 ** ((now - this._durationRatioAt) / durationRatioHalfLifeMs);
		return 1 + ((this._durationRatio - 1) * decay);
	}

	/** Counts a request that was sent after the last report. */
	addRunning(): void {
		if (this._load !== undefined) {
			this._load = {...this._load, running: this._load.running + 1};
		}
	}

	recordLoad(load: TargetLoad, now: number): void {
		this._load = load;
		this._loadAt = now;
	}

	/** Notes what the target said of its health. */
	recordHealth(isHealthy: boolean, now: number): void {
		this._unhealthyUntil = isHealthy ? Number.NEGATIVE_INFINITY : now + unhealthyMs;
	}

	/** Whether the target said that it is failing or leaving. */
	isUnhealthy(now: number): boolean {
		return now < this._unhealthyUntil;
	}

	/** Notes that a probe was not answered in time. */
	recordSilence(now: number): void {
		this._ejectedUntil = Math.max(this._ejectedUntil, now + probeTimeoutEjectMs);
	}

	/** Notes an answer's duration against the one expected, as a factor. */
	recordSlowness(ratio: number, now: number): void {
		const previousRatio = this.getSlowness(now);
		this._durationRatio = previousRatio + ((Math.min(maxDurationRatio, ratio) - previousRatio) * durationRatioWeight);
		this._durationRatioAt = now;
	}

	/** Notes how an attempt ended. */
	recordEnd(end: AttemptEnd, now: number): void {
		switch (end) {
			case AttemptEnd.Answered: {
				this._failureRate *= 1 - failureWeight;
				if (this._failureRate < failureWeight) {
					this._ejectCount = 0;
				}

				return;
			}

			case AttemptEnd.Failed:
			case AttemptEnd.Lost: {
				this._failureRate += (1 - this._failureRate) * failureWeight;
				if (this._failureRate >= ejectFailureRate) {
					this._eject(now);
				}

				return;
			}

			case AttemptEnd.ConnectFailed: {
				this._eject(now);
				return;
			}

			case AttemptEnd.Misdirected: {
				// The address belongs to another target; only a new record of the list can change that.
				this._ejectedUntil = Number.POSITIVE_INFINITY;
				return;
			}

			case AttemptEnd.Refused: {
				this._load = undefined;
				break;
			}

			case AttemptEnd.Cancelled:
			case AttemptEnd.Unused: {
				break;
			}
		}
	}

	private _eject(now: number): void {
		const durationMs = Math.min(maxEjectMs, ejectMs * (2 ** this._ejectCount));
		this._ejectCount++;
		this._ejectedUntil = Math.max(this._ejectedUntil, now + durationMs);
	}
}
