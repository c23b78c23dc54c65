import type {TargetLoad} from '../../common/gateway/target-load.js';
import {computeExpectedSlowdown} from '../../policy/gateway/compute-expected-slowdown.js';
import {BusyShare} from '../../policy/gateway/busy-share.js';
import {computeConcurrencyLimit} from '../../policy/gateway/compute-concurrency-limit.js';
import {estimateDuration} from '../../policy/gateway/estimate-duration.js';
import type {TargetRecord} from '../../policy/gateway/target-record.js';
import {ServiceTimeAverages} from '../../policy/gateway/service-time-averages.js';
import type {TargetChoice} from './target-choice.js';
import type {PooledTarget} from './pooled-target.js';

/** Age up to which a report affects the order of probes, in ms. The load of other processes on a target's machine changes several times a second. */
const maxHintAgeMs = 200;
/** Penalty on the rank of a target in another failure domain while those in the own domain are idle, as a factor of the usual time. */
const remoteCost = 1;
/** Share of busy targets in the own failure domain from which others have no penalty: looking for a free one there takes longer than the transfer. */
const shortageShare = 0.5;
/** Time that a kilobyte of a request body counts for a target in another failure domain, in ms: a large body goes there only when that saves much time. */
const remoteMsPerKilobyte = 2;
/** Penalty on the rank of a target without an idle connection, as a factor of the usual time, since new connections have a cost. */
const connectCost = 0.25;
/** Expected duration up to which a target with a free slot counts as idle, as a factor of the usual time. */
const idleFactor = 1.3;
/** Age up to which a report of a full or slowed target makes a probe unnecessary, in ms. A larger value delays the use of a target that has become free; the time between changes of the load is three times this one. */
const maxBusyAgeMs = 80;
/** Slowdown above which a target counts as busy, as a factor of the usual time. */
const busyFactor = 2;
/** Age up to which a report replaces a probe, in ms. */
const maxFreshAgeMs = 5;
/** Age up to which a target is rated by its report, in ms. With less than the longest wait for probes plus the age of a fresh report, reports would expire while other probes are awaited. */
const maxKnownAgeMs = 13;
/** Slowdown assumed for a target without a recent report, as a factor of the usual time. */
const assumedSlowdown = 1.5;

const isBusy = ({running, waiting, slots, slowdown}: TargetLoad): boolean => slowdown > busyFactor || running + waiting >= computeConcurrencyLimit(slots);

/** Rates the targets of one service by their load reports and by the results of this instance's requests. */
export class TargetRater {
	/** Average durations of the service's requests. */
	readonly serviceTimes = new ServiceTimeAverages();
	/** Whether the service's targets report their load; undefined until a response shows it. */
	private _reportsLoad: boolean | undefined;
	/** Share of busy targets in the own failure domain, which tells how long a request is expected to look for a slot there. */
	private readonly _localBusyShare = new BusyShare();

	/** @param _failureDomain - Failure domain of this instance. */
	constructor(private readonly _failureDomain: string) {}

	/** Whether the targets report their load: false when a valid response came without a report and none has come yet, undefined before the first response. */
	get reportsLoad(): boolean | undefined {
		return this._reportsLoad;
	}

	/**
	Records a load report.
	@param load - The report; undefined when a valid response came without one.
	*/
	recordReport(record: TargetRecord, load: TargetLoad | undefined, now: number): void {
		if (load === undefined) {
			this._reportsLoad ??= false;
		} else {
			this._reportsLoad = true;
			record.recordLoad(load, now);
			if (record.target.failureDomain === this._failureDomain) {
				this._localBusyShare.noteReport(isBusy(load), now);
			}
		}
	}

	/** Whether a target is in this instance's failure domain. */
	isLocal({record}: PooledTarget): boolean {
		return record.target.failureDomain === this._failureDomain;
	}

	/** Whether the last report, from a probe or from any other response, is recent enough to replace a probe. */
	isFresh({record}: PooledTarget, now: number): boolean {
		return (record.getLoad(now)?.ageMs ?? Number.POSITIVE_INFINITY) <= maxFreshAgeMs;
	}

	/** Whether a recent report shows that the target is full or slowed, so that a probe is not worthwhile yet. */
	isKnownBusy({record}: PooledTarget, now: number): boolean {
		const reported = record.getLoad(now);
		if (reported === undefined || reported.ageMs > maxBusyAgeMs) {
			return false;
		}

		return isBusy(reported.load);
	}

	/** Ranks a target by what is known before a probe, as a factor of the usual time; the target with the lowest rank is probed first. */
	rankBeforeProbe(pooledTarget: PooledTarget, now: number): number {
		const {record, client} = pooledTarget;
		const reported = record.getLoad(now);
		const isHint = reported !== undefined && reported.ageMs < maxHintAgeMs;
		const slowdown = isHint ? reported.load.slowdown : assumedSlowdown;
		const occupied = Math.max(record.inFlight, isHint ? reported.load.running + reported.load.waiting : 0);
		return (slowdown * record.getDurationRatio(now)) + (2 * (occupied / record.target.slots))
			+ (this.isLocal(pooledTarget) ? 0 : this._computeRemoteCost(now)) + (client.hasIdleConnection ? 0 : connectCost);
	}

	/** Computes the expected duration of a request that starts now, as a factor of the usual time. */
	computeExpectedSlowdown({record}: PooledTarget, now: number): number {
		const load = record.getLoad(now)?.load ?? this._assumeLoad(record);
		return computeExpectedSlowdown({load, inFlight: record.inFlight, isWarming: record.isWarming(now)});
	}

	/** Whether the target's load is known: from a recent report, or from this instance's requests in flight while no target has reported its load. */
	canRate({record}: PooledTarget, now: number): boolean {
		return this._reportsLoad !== true || (record.getLoad(now)?.ageMs ?? Number.POSITIVE_INFINITY) <= maxKnownAgeMs;
	}

	/**
	Rates a target by its report if that is recent, or by this instance's requests in flight while no target has reported its load; undefined when the
	target's load is not known.
	@param bodyBytes - Size of the request body; a transfer to another failure domain has a cost, which counts as time.
	@param isOwed - Whether the target counts as idle although it is slower because it is cold.
	*/
	rate(pooledTarget: PooledTarget, now: number, bodyBytes: number, isOwed = false): TargetChoice | undefined {
		const {record} = pooledTarget;
		if (!this.canRate(pooledTarget, now)) {
			return undefined;
		}

		const reported = record.getLoad(now);
		const load = reported !== undefined && reported.ageMs <= maxKnownAgeMs ? reported.load : this._assumeLoad(record);
		const {inFlight} = record;
		const expectedSlowdown = computeExpectedSlowdown({load, inFlight, isWarming: record.isWarming(now)});
		const idleSlowdown = isOwed ? computeExpectedSlowdown({load, inFlight, isWarming: false}) : expectedSlowdown;
		const durationRatio = record.getDurationRatio(now);
		const transferMs = this.isLocal(pooledTarget) ? 0 : bodyBytes / 1000 * remoteMsPerKilobyte;
		const estimateMs = transferMs + estimateDuration({
			load, inFlight, usualMs: this.serviceTimes.usualMs, expectedSlowdown, durationRatio, failureRate: record.failureRate,
		});
		const hasFreeSlot = Math.max(load.running + load.waiting, inFlight) < computeConcurrencyLimit(load.slots);
		return {
			pooledTarget, estimateMs, hasFreeSlot, isIdle: hasFreeSlot && (idleSlowdown * durationRatio) + (transferMs / this.serviceTimes.usualMs) <= idleFactor,
		};
	}

	/** Computes the penalty on the rank of a target in another failure domain, by how busy the targets of the own one are. */
	private _computeRemoteCost(now: number): number {
		return remoteCost * Math.max(0, 1 - (this._localBusyShare.getShare(now) / shortageShare));
	}

	private _assumeLoad({inFlight, target}: TargetRecord): TargetLoad {
		return {
			running: inFlight, waiting: 0, slots: target.slots, slowdown: assumedSlowdown,
		};
	}
}
