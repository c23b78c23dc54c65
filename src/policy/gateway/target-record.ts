import {AttemptEnd} from '../../common/gateway/attempt-end.js';
import type {GatewayTarget} from '../../common/gateway/gateway-target.js';
import type {TargetLoad} from '../../common/gateway/target-load.js';
import {warmUpToleranceMs} from './warm-up-tolerance-ms.js';

/** Weight of the newest attempt in the failure rate. */
const failureWeight = 0.25;
/** Failure rate at which a target is ejected; about three consecutive failures reach it. */
const ejectFailureRate = 0.55;
/** Duration of the first ejection, in ms; doubled with each further one up to the maximum. */
const ejectMs = 1000;
const maxEjectMs = 8000;
/** Lowest initial failure rate of a target whose record replaces one of the same id: a restart loses the requests in flight, and a target that has restarted is likely to do so again. */
const restartFailureRate = 0.4;
/** Duration of the ejection after a probe that timed out, in ms. */
const probeTimeoutEjectMs = 250;
/** Time for which a target that reported itself failing or draining is used only when no healthy one is left, in ms. */
const unhealthyMs = 1000;
/** Weight of the newest response in the duration ratio. */
const durationRatioWeight = 0.2;
const maxDurationRatio = 10;
/** Half-life of the deviation of the duration ratio from 1, in ms. */
const durationRatioHalfLifeMs = 4000;

/** State of one target as derived from this instance's own requests and the target's load reports. */
export class TargetRecord {
	/** Requests of this instance that have no response yet. */
	inFlight = 0;
	private _load: TargetLoad | undefined;
	private _loadAt = Number.NEGATIVE_INFINITY;
	private _failureRate: number;
	private _ejectCount = 0;
	private _ejectedUntil = Number.NEGATIVE_INFINITY;
	private _unhealthyUntil = Number.NEGATIVE_INFINITY;
	private _durationRatio = 1;
	private _durationRatioAt = 0;
	private _warmUntil: number;
	/** Time of the report to which the end of the warm-up was last extended, in ms. */
	private _warmUpRaisedAt: number;

	/**
	@param target - Its entry in the list of targets.
	@param listedAt - Time at which the target was first listed, in ms.
	@param predecessor - Record that this one replaces (restart or new address), if any.
	*/
	constructor(public target: GatewayTarget, listedAt: number, predecessor?: TargetRecord) {
		this._warmUntil = listedAt + target.warmUpLeftMs;
		this._warmUpRaisedAt = listedAt;
		this._failureRate = predecessor === undefined ? 0 : Math.max(predecessor.failureRate, restartFailureRate);
	}

	/** Gets the last load report and its age in ms; undefined when there is none. */
	getLoad(now: number): {readonly load: TargetLoad; readonly ageMs: number} | undefined {
		return this._load === undefined ? undefined : {load: this._load, ageMs: now - this._loadAt};
	}

	get failureRate(): number {
		return this._failureRate;
	}

	/** Whether the target is still warming up after its start. */
	isWarming(now: number): boolean {
		return now < this._warmUntil;
	}

	/** Gets the remaining warm-up time, in ms; 0 for a warm target. */
	getWarmUpLeftMs(now: number): number {
		return Math.max(0, this._warmUntil - now);
	}

	/**
	Replaces the entry in the list of targets by a newer one of the same incarnation. An entry may be seconds old, so it never ends a warm-up.
	@returns Whether the target has become cold again.
	*/
	updateTarget(target: GatewayTarget, now: number): boolean {
		this.target = target;
		return this.recordWarmUp(target.warmUpLeftMs, Number.NEGATIVE_INFINITY, now);
	}

	/**
	Records a remaining warm-up time that the target stated. It ends the warm-up earlier only if the target was asked after the last extension, since
	responses may be read late.
	@param askedAt - Time at which the target was asked, in ms.
	@returns Whether the target has become cold again.
	*/
	recordWarmUp(leftMs: number, askedAt: number, now: number): boolean {
		const until = now + leftMs;
		const hasRestarted = leftMs > 0 && until > Math.max(this._warmUntil, now) + warmUpToleranceMs;
		if (until > this._warmUntil && leftMs > 0) {
			this._warmUntil = until;
			this._warmUpRaisedAt = now;
		} else if (askedAt >= this._warmUpRaisedAt) {
			this._warmUntil = until;
		}

		return hasRestarted;
	}

	/** Whether the target is ejected and gets no requests for now. */
	isEjected(now: number): boolean {
		return now < this._ejectedUntil;
	}

	/** Gets the ratio of the measured to the expected durations; it decays to 1. */
	getDurationRatio(now: number): number {
		const decay = 0.5 ** ((now - this._durationRatioAt) / durationRatioHalfLifeMs);
		return 1 + ((this._durationRatio - 1) * decay);
	}

	/** Counts a request sent after the last report as running. */
	addRunning(): void {
		if (this._load !== undefined) {
			this._load = {...this._load, running: this._load.running + 1};
		}
	}

	recordLoad(load: TargetLoad, now: number): void {
		this._load = load;
		this._loadAt = now;
	}

	/** Records the result of a health check. */
	recordHealth(isHealthy: boolean, now: number): void {
		this._unhealthyUntil = isHealthy ? Number.NEGATIVE_INFINITY : now + unhealthyMs;
	}

	/** Whether the target recently reported that it is failing or draining. */
	isUnhealthy(now: number): boolean {
		return now < this._unhealthyUntil;
	}

	/** Ejects the target for a short time after a probe that timed out. */
	recordProbeTimeout(now: number): void {
		this._ejectedUntil = Math.max(this._ejectedUntil, now + probeTimeoutEjectMs);
	}

	/** Updates the moving average with the ratio of a measured duration to the expected one. */
	recordDurationRatio(ratio: number, now: number): void {
		const previousRatio = this.getDurationRatio(now);
		this._durationRatio = previousRatio + ((Math.min(maxDurationRatio, ratio) - previousRatio) * durationRatioWeight);
		this._durationRatioAt = now;
	}

	/** Records the result of an attempt. */
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
			case AttemptEnd.RefusedUnproven:
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
				// The address belongs to another target until the list has a new record for it.
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
