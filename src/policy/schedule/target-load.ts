import {ExchangeEnd} from '../../common/exchange-end.js';
import type {LoadReport} from '../../common/load-report.js';
import {DecayingMean} from './decaying-mean.js';
import {ReportTrust} from './report-trust.js';

type PeerCount = {
	readonly inFlight: number;
	readonly longInFlight: number;
};

/** A slot that a request of this instance holds. */
type SlotUse = {
	readonly startedAt: number;
	readonly isLong: boolean;
};

const shortTimeConstantMs = 50;
const reportExpiryMs = 100;
const drainSignalExpiryMs = 10_000;
const minBackoffMs = 20;
const maxBackoffMs = 1000;
const minEjectionMs = 500;
const maxEjectionMs = 10_000;
const failuresUntilEjection = 3;
/** Requests that may be sent to a full target before a slot is free, as a share of its slots. */
const overcommitRatio = 0.15;

/** Load and health of one target as this instance knows them; times are on the instance's clock, in ms. */
export class TargetLoad {
	readonly trust = new ReportTrust();
	private readonly _uses = new Set<SlotUse>();
	/** Times of short requests that this instance and its peers observed. */
	private readonly _shortMs = new DecayingMean(shortTimeConstantMs);
	private readonly _ownShortMs = new DecayingMean(shortTimeConstantMs);
	private _longInFlight = 0;
	private _peerInFlight = 0;
	private _peerLongInFlight = 0;
	private _reportedExcess = 0;
	private _reportedAt = Number.NEGATIVE_INFINITY;
	private _drainSeenAt = Number.NEGATIVE_INFINITY;
	private _peerDrainSeenAt = Number.NEGATIVE_INFINITY;
	private _ownShortSampledAt = Number.NEGATIVE_INFINITY;
	private _backoffUntil = 0;
	private _backoffMs = 0;
	private _ejectedUntil = 0;
	private _ejectionMs = 0;
	private _failures = 0;

	/** @param _warmingSince - Time at which a cold target started; undefined for a target that is assumed to be warm. */
	constructor(private _warmingSince: number | undefined) {}

	/** Requests of this instance in flight. */
	get inFlight(): number {
		return this._uses.size;
	}

	/** Long requests of this instance in flight. */
	get longInFlight(): number {
		return this._longInFlight;
	}

	/** Known requests of all entries in flight; those of peers lose weight with the age of their counts. */
	get knownInFlight(): number {
		return this._uses.size + this._peerInFlight;
	}

	/** Takes a slot; pass the result to `releaseSlot`. */
	acquireSlot(isLong: boolean, now: number): SlotUse {
		const use = {startedAt: now, isLong};
		this._uses.add(use);
		this._longInFlight += isLong ? 1 : 0;
		return use;
	}

	/** Releases a slot and updates times, backoff and ejection from how the request ended. */
	releaseSlot(use: SlotUse, end: ExchangeEnd, now: number): void {
		if (!this._uses.delete(use)) {
			return;
		}

		this._longInFlight -= use.isLong ? 1 : 0;
		this._recordEnd(use, end, now);
	}

	/** Replaces the sum of the requests that peers have in flight. */
	setPeerCount(count: PeerCount): void {
		this._peerInFlight = count.inFlight;
		this._peerLongInFlight = count.longInFlight;
	}

	/** Applies the target's own load report. */
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

	/** Records a drain signal of the target. */
	markDraining(now: number): void {
		this._drainSeenAt = now;
	}

	/** Records a drain signal that a peer saw. It is not passed on, because two peers would then keep renewing it for each other. */
	markDrainingByPeer(now: number): void {
		this._peerDrainSeenAt = now;
	}

	/** Whether this instance or a peer has recently seen a drain signal of the target. */
	isDraining(now: number): boolean {
		return this.hasSeenDrainSignal(now) || now - this._peerDrainSeenAt < drainSignalExpiryMs;
	}

	/** Whether this instance itself has recently seen a drain signal of the target. */
	hasSeenDrainSignal(now: number): boolean {
		return now - this._drainSeenAt < drainSignalExpiryMs;
	}

	/** Adds a peer's recent time of short requests, in ms. */
	addPeerShortMs(shortMs: number, now: number): void {
		this._shortMs.addSample(shortMs, now);
	}

	/** Average time of this instance's short requests, in ms; undefined when there was none within `recentMs`. */
	getRecentShortMs(now: number, recentMs: number): number | undefined {
		return now - this._ownShortSampledAt <= recentMs ? this._ownShortMs.mean : undefined;
	}

	/** Whether the target is ejected after consecutive failures. */
	isEjected(now: number): boolean {
		return now < this._ejectedUntil;
	}

	/** Estimated free slots, from 0 to `slots`; fractional because the counts of peers lose weight with age. */
	estimateFreeSlots(now: number, slots: number, warmUpMs: number): number {
		if (this.isDraining(now) || now < this._backoffUntil) {
			return 0;
		}

		const limit = this._computeLimit(now, slots, warmUpMs);
		return Math.max(0, Math.min(slots, limit - this.knownInFlight - this._estimateReportedExcess(now)));
	}

	/** Whether one more short request may be sent while all slots are taken; long requests must not hold more than half of them. */
	canOvercommit(now: number, slots: number): boolean {
		const isHealthy = !this.isDraining(now) && now >= this._backoffUntil && this._backoffMs === 0 && this._warmingSince === undefined;
		const allowed = slots + Math.ceil(slots * overcommitRatio);
		return isHealthy && this.knownInFlight + 1 <= allowed && (this._longInFlight + this._peerLongInFlight) * 2 <= slots;
	}

	/** Whether one more long request may run. */
	hasRoomForLong(longSlots: number): boolean {
		return this._longInFlight + this._peerLongInFlight + 1 <= longSlots;
	}

	/** Expected time of a short request, in ms: the recent average, or the age of the oldest short request in flight if that is more. */
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

	/** Time until which the target gets no requests after it refused one; in the past when no backoff is active. */
	get backoffUntil(): number {
		return this._backoffUntil;
	}

	private _computeLimit(now: number, slots: number, warmUpMs: number): number {
		// After a refusal the target gets one request at a time until one succeeds.
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

	/** Requests that the target reports beyond the known ones, weighted by trust and by the age of the report. */
	private _estimateReportedExcess(now: number): number {
		const ageWeight = Math.max(0, 1 - ((now - this._reportedAt) / reportExpiryMs));
		return Math.floor(this._reportedExcess * this.trust.weight * ageWeight);
	}

	private _recordEnd(use: SlotUse, end: ExchangeEnd, now: number): void {
		switch (end) {
			case ExchangeEnd.Answered: {
				this._failures = 0;
				this._ejectionMs = 0;
				this._backoffMs = 0;
				if (!use.isLong) {
					this._addShortSample(now - use.startedAt, now);
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
				// A cancelled request would have taken at least this long.
				if (!use.isLong && now - use.startedAt > (this._shortMs.mean ?? 0)) {
					this._addShortSample(now - use.startedAt, now);
				}

				break;
			}

			case ExchangeEnd.Unused: {
				break;
			}
		}
	}

	private _addShortSample(slotTimeMs: number, now: number): void {
		this._shortMs.addSample(slotTimeMs, now);
		this._ownShortMs.addSample(slotTimeMs, now);
		this._ownShortSampledAt = now;
	}

	private _countFailure(now: number): void {
		this._failures++;
		if (this._failures >= failuresUntilEjection && !this.isEjected(now)) {
			this._ejectionMs = Math.min(maxEjectionMs, Math.max(minEjectionMs, this._ejectionMs * 2));
			this._ejectedUntil = now + this._ejectionMs;
			// A single failure after the ejection ends ejects the target again, for longer.
			this._failures = failuresUntilEjection - 1;
		}
	}
}
