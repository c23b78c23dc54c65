import type {TargetLoad} from '../../common/gateway/target-load.js';
import {computeStartFactor} from '../../policy/gateway/compute-start-factor.js';
import {computeTargetLimit} from '../../policy/gateway/compute-target-limit.js';
import {estimateDuration} from '../../policy/gateway/estimate-duration.js';
import type {TargetRecord} from '../../policy/gateway/target-record.js';
import {WorkTimes} from '../../policy/gateway/work-times.js';
import type {TargetChoice} from './target-choice.js';
import type {PooledTarget} from './pooled-target.js';

/** Age up to which a report tells which targets to ask first, in ms: neighbours on their machines change several times a second. */
const maxHintAgeMs = 200;
/** What a target in another failure domain has to be faster by to be asked first, as a factor of the usual time. */
const remoteCost = 1;
/** What a target to which no connection is open has to be faster by, likewise; connections are priced. */
const connectCost = 0.25;
/** Slowdown up to which a target counts as idle, as a factor of the usual time. */
const idleFactor = 1.3;
/** Age up to which a report that shows no room, or a slowed target, spares another probe, in ms: a third of the time between changes. */
const maxBusyAgeMs = 80;
/** Slowdown from which a target is left alone for a while, as a factor of the usual time. */
const busyFactor = 2;
/** Age up to which a report is as good as a probe, in ms. */
const maxFreshAgeMs = 5;
/** Age up to which a report decides, in ms: the longest wait for probes, and the age that counts as fresh. */
const maxKnownAgeMs = 13;
/** Slowdown that is assumed of a target that has reported none. */
const assumedSlowdown = 1.5;

/** Judges the targets of one service by their reports and by what was seen of them. */
export class TargetRater {
	readonly serviceTimes = new WorkTimes();
	/** Undefined until an answer shows whether the service's targets report their load. */
	private _reportsLoad: boolean | undefined;

	/** @param _failureDomain - Where this instance runs. */
	constructor(private readonly _failureDomain: string) {}

	/** False once a sound answer came without a load report. */
	get reportsLoad(): boolean | undefined {
		return this._reportsLoad;
	}

	/** Takes a report, or notes that a sound answer came without one. */
	recordReport(record: TargetRecord, load: TargetLoad | undefined, now: number): void {
		if (load === undefined) {
			this._reportsLoad ??= false;
		} else {
			this._reportsLoad = true;
			record.recordLoad(load, now);
		}
	}

	isLocal({record}: PooledTarget): boolean {
		return record.target.failureDomain === this._failureDomain;
	}

	/** Whether the last report, which also comes with each answer, is as good as a probe. */
	isFresh({record}: PooledTarget, now: number): boolean {
		return (record.getLoad(now)?.ageMs ?? Number.POSITIVE_INFINITY) <= maxFreshAgeMs;
	}

	/** Whether a report tells that asking again so soon is of no use. */
	isKnownBusy({record}: PooledTarget, now: number): boolean {
		const reported = record.getLoad(now);
		if (reported === undefined || reported.ageMs > maxBusyAgeMs) {
			return false;
		}

		const {running, waiting, slots, slowdown} = reported.load;
		return slowdown > busyFactor || running + waiting >= computeTargetLimit(slots);
	}

	/** How promising a target is from what is known already, as a factor of the usual time; the lowest is asked first. */
	rankBeforeProbe(pooledTarget: PooledTarget, now: number): number {
		const {record, client} = pooledTarget;
		const reported = record.getLoad(now);
		const isHint = reported !== undefined && reported.ageMs < maxHintAgeMs;
		const slowdown = isHint ? reported.load.slowdown : assumedSlowdown;
		const occupied = Math.max(record.inFlight, isHint ? reported.load.running + reported.load.waiting : 0);
		return (slowdown * record.getSlowness(now)) + (2 * (occupied / record.target.slots))
			+ (this.isLocal(pooledTarget) ? 0 : remoteCost) + (client.hasIdleConnection ? 0 : connectCost);
	}

	/** Time that work takes if it starts now, as a factor of the usual time. */
	computeExpectedSlowdown({record}: PooledTarget, now: number): number {
		const load = record.getLoad(now)?.load ?? this._assumeLoad(record);
		return computeStartFactor({load, inFlight: record.inFlight, isWarming: record.isWarming(now)});
	}

	/** Rates a target by its report if that is recent, or by own requests where targets report nothing; undefined when its load is not known. */
	rate(pooledTarget: PooledTarget, now: number): TargetChoice | undefined {
		const {record} = pooledTarget;
		const reported = record.getLoad(now);
		const isKnown = reported !== undefined && reported.ageMs <= maxKnownAgeMs;
		if (!isKnown && this._reportsLoad === true) {
			return undefined;
		}

		const load = isKnown ? reported.load : this._assumeLoad(record);
		const {inFlight} = record;
		const expectedSlowdown = computeStartFactor({load, inFlight, isWarming: record.isWarming(now)});
		const durationRatio = record.getSlowness(now);
		const estimateMs = estimateDuration({
			load, inFlight, usualMs: this.serviceTimes.usualMs, startFactor: expectedSlowdown, slowness: durationRatio, failureRate: record.failureRate,
		});
		const isFree = Math.max(load.running + load.waiting, inFlight) < computeTargetLimit(load.slots);
		return {
			pooledTarget, estimateMs, hasFreeSlot: isFree, isIdle: isFree && expectedSlowdown * durationRatio <= idleFactor,
		};
	}

	private _assumeLoad({inFlight, target}: TargetRecord): TargetLoad {
		return {
			running: inFlight, waiting: 0, slots: target.slots, slowdown: assumedSlowdown,
		};
	}
}
