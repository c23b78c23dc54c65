import {ExchangeEnd} from '../../common/exchange-end.js';
import type {LoadReport} from '../../common/load-report.js';
import {DecayingMean} from './decaying-mean.js';
import {ReportTrust} from './report-trust.js';

type PeerCount = {
	readonly inFlight: number;
	readonly longInFlight: number;
};

/** One use of a slot by this instance. */
type SlotUse = {
	readonly startedAt: number;
	readonly isLong: boolean;
};

const shortMemoryMs = 50;
const reportMemoryMs = 100;
const drainMemoryMs = 10_000;
const minBackoffMs = 20;
const maxBackoffMs = 1000;
const minEjectionMs = 500;
const maxEjectionMs = 10_000;
const failuresUntilEjection = 3;
/** Requests on their way to a full target, as a share of its slots. */
const overlapRatio = 0.15;

/** What this instance knows of one target; times are on its clock, in ms. */
export class TargetLoad {
	readonly trust = new ReportTrust();
	private readonly _uses = new Set<SlotUse>();
	/** Times seen here and by peers. */
	private readonly _shortMs = new DecayingMean(shortMemoryMs);
	private readonly _ownShortMs = new DecayingMean(shortMemoryMs);
	private _longInFlight = 0;
	private _peerInFlight = 0;
	private _peerLongInFlight = 0;
	private _reportedExcess = 0;
	private _reportedAt = Number.NEGATIVE_INFINITY;
	private _drainSeenAt = Number.NEGATIVE_INFINITY;
	private _peerDrainSeenAt = Number.NEGATIVE_INFINITY;
	private _ownShortAt = Number.NEGATIVE_INFINITY;
	private _backoffUntil = 0;
	private _backoffMs = 0;
	private _ejectedUntil = 0;
	private _ejectionMs = 0;
	private _failures = 0;

	/** @param _warmingSince - When a cold target came up; undefined for one that is believed warm. */
	constructor(private _warmingSince: number | undefined) {}

	/** Requests of this instance in flight. */
	get inFlight(): number {
		return this._uses.size;
	}

	/** Long requests of this instance in flight. */
	get longInFlight(): number {
		return this._longInFlight;
	}

	/** Requests of the entries known to be in flight, peers' by age. */
	get knownInFlight(): number {
		return this._uses.size + this._peerInFlight;
	}

	/** Takes a slot; give the result back to `endUse`. */
	startUse(isLong: boolean, now: number): SlotUse {
		const use = {startedAt: now, isLong};
		this._uses.add(use);
		this._longInFlight += isLong ? 1 : 0;
		return use;
	}

	/** Gives a slot back and learns from how its use ended. */
	endUse(use: SlotUse, end: ExchangeEnd, now: number): void {
		if (!this._uses.delete(use)) {
			return;
		}

		this._longInFlight -= use.isLong ? 1 : 0;
		this._learn(use, end, now);
	}

	/** Replaces the sum of what peers have in flight. */
	setPeerCount(count: PeerCount): void {
		this._peerInFlight = count.inFlight;
		this._peerLongInFlight = count.longInFlight;
	}

	/** Takes the target's own report. */
	acceptReport(report: LoadReport, now: number, options: {readonly slots: number; readonly usualMs: number}): void {
		const reported = report.inFlight + report.queued;
		const isQuick = this._shortMs.estimate(options.usualMs, now) <= options.usualMs * 1.5;
		this.trust.scoreReport(reported, this._uses.size, isQuick, options.slots);
		this._reportedExcess = Math.max(0, reported - this.knownInFlight);
		this._reportedAt = now;
		if (report.draining) {
			this.markDraining(now);
		}
	}

	/** Notes a sign that the target is leaving. */
	markDraining(now: number): void {
		this._drainSeenAt = now;
	}

	/** Notes a peer's sign; it is not passed on, so that two peers do not keep it alive between them. */
	markDrainingByPeer(now: number): void {
		this._peerDrainSeenAt = now;
	}

	/** Whether the target itself or a peer said lately that it is leaving. */
	isDraining(now: number): boolean {
		return this.isSeenDraining(now) || now - this._peerDrainSeenAt < drainMemoryMs;
	}

	/** Whether this instance itself saw a sign that the target is leaving. */
	isSeenDraining(now: number): boolean {
		return now - this._drainSeenAt < drainMemoryMs;
	}

	/** Takes the recent time of short requests that a peer saw. */
	addPeerShortMs(shortMs: number, now: number): void {
		this._shortMs.addSample(shortMs, now);
	}

	/** Average time of short requests if there was one within `recentMs`, else undefined. */
	getRecentShortMs(now: number, recentMs: number): number | undefined {
		return now - this._ownShortAt <= recentMs ? this._ownShortMs.mean : undefined;
	}

	isEjected(now: number): boolean {
		return now < this._ejectedUntil;
	}

	/** Slots believed free, never more than the target has; fractions come from aged counts. */
	estimateFreeSlots(now: number, slots: number, warmUpMs: number): number {
		if (this.isDraining(now) || now < this._backoffUntil) {
			return 0;
		}

		const limit = this._computeLimit(now, slots, warmUpMs);
		return Math.max(0, Math.min(slots, limit - this.knownInFlight - this._estimateForeign(now)));
	}

	/** Whether one more short request may be on its way while all slots are taken; long ones must not hold most of them. */
	canOverlap(now: number, slots: number): boolean {
		const isHealthy = !this.isDraining(now) && now >= this._backoffUntil && this._backoffMs === 0 && this._warmingSince === undefined;
		const allowed = slots + Math.ceil(slots * overlapRatio);
		return isHealthy && this.knownInFlight + 1 <= allowed && (this._longInFlight + this._peerLongInFlight) * 2 <= slots;
	}

	/** Whether one more long request may run. */
	hasRoomForLong(longSlots: number): boolean {
		return this._longInFlight + this._peerLongInFlight + 1 <= longSlots;
	}

	/** Expected time of a short request: the recent average, or the age of the oldest short one in flight if that is more. */
	estimateShortMs(usualMs: number, now: number): number {
		let oldestMs = 0;
		for (const use of this._uses) {
			if (!use.isLong) {
				oldestMs = now - use.startedAt;
				break;
			}
		}

		return Math.max(oldestMs, this._shortMs.estimate(usualMs, now));
	}

	/** Time at which the target may take work again after it shed some; in the past when it is not backed off. */
	get backoffUntil(): number {
		return this._backoffUntil;
	}

	private _computeLimit(now: number, slots: number, warmUpMs: number): number {
		// A target that shed work is tried with one request until it answers again.
		const allowed = this._backoffMs > 0 ? 1 : slots;
		if (this._warmingSince === undefined) {
			return allowed;
		}

		const share = (now - this._warmingSince) / Math.max(1, warmUpMs);
		if (share >= 1) {
			this._warmingSince = undefined;
			return allowed;
		}

		return Math.min(allowed, Math.max(1, Math.floor(slots * share)));
	}

	/** Requests of others that the target reports, by trust and age. */
	private _estimateForeign(now: number): number {
		const ageWeight = Math.max(0, 1 - ((now - this._reportedAt) / reportMemoryMs));
		return Math.floor(this._reportedExcess * this.trust.weight * ageWeight);
	}

	private _learn(use: SlotUse, end: ExchangeEnd, now: number): void {
		switch (end) {
			case ExchangeEnd.Answered: {
				this._failures = 0;
				this._ejectionMs = 0;
				this._backoffMs = 0;
				if (!use.isLong) {
					this._addShort(now - use.startedAt, now);
				}

				break;
			}

			case ExchangeEnd.Refused: {
				this._failures = 0;
				this._backoffMs = Math.min(maxBackoffMs, Math.max(minBackoffMs, this._backoffMs * 2));
				this._backoffUntil = now + this._backoffMs;
				break;
			}

			case ExchangeEnd.Failed:
			case ExchangeEnd.ConnectFailed:
			case ExchangeEnd.Lost: {
				this._countFailure(now);
				break;
			}

			case ExchangeEnd.Cancelled: {
				// The request would have taken at least this long.
				if (!use.isLong && now - use.startedAt > (this._shortMs.mean ?? 0)) {
					this._addShort(now - use.startedAt, now);
				}

				break;
			}

			case ExchangeEnd.Unused: {
				break;
			}
		}
	}

	private _addShort(occupiedMs: number, now: number): void {
		this._shortMs.addSample(occupiedMs, now);
		this._ownShortMs.addSample(occupiedMs, now);
		this._ownShortAt = now;
	}

	private _countFailure(now: number): void {
		this._failures++;
		if (this._failures >= failuresUntilEjection && !this.isEjected(now)) {
			this._ejectionMs = Math.min(maxEjectionMs, Math.max(minEjectionMs, this._ejectionMs * 2));
			this._ejectedUntil = now + this._ejectionMs;
			// One more failure after the return ejects the target again, for longer.
			this._failures = failuresUntilEjection - 1;
		}
	}
}
