import type {TargetLoad} from '../../common/gateway/target-load.js';
import {computeStartFactor} from '../../policy/gateway/compute-start-factor.js';
import {computeTargetLimit} from '../../policy/gateway/compute-target-limit.js';
import {estimateDuration} from '../../policy/gateway/estimate-duration.js';
import type {TargetRecord} from '../../policy/gateway/target-record.js';
import {WorkTimes} from '../../policy/gateway/work-times.js';
import type {TargetChoice} from './target-choice.js';
import type {TargetPlace} from './target-place.js';

/** Age up to which a report tells which targets to ask first, in ms: neighbours on their machines change several times a second. */
const hintMs = 200;
/** What a target in another failure domain has to be faster by to be asked first, as a factor of the usual time. */
const remoteCost = 1;
/** What a target to which no connection is open has to be faster by, likewise; connections are priced. */
const connectCost = 0.25;
/** Slowdown up to which a target counts as idle, as a factor of the usual time. */
const idleFactor = 1.3;
/** Age up to which a report that shows no room, or a slowed target, spares another probe, in ms: a third of the time between changes. */
const hopelessMs = 80;
/** Slowdown from which a target is left alone for a while, as a factor of the usual time. */
const slowedFactor = 2;
/** Age up to which a report is as good as a probe, in ms. */
const freshMs = 5;
/** Age up to which a report decides, in ms: the longest wait for probes, and the age that counts as fresh. */
const knownMs = 13;
/** Slowdown that is assumed of a target that has reported none. */
const unknownSlowdown = 1.5;

/** Judges the targets of one service by their reports and by what was seen of them. */
export class TargetRater {
	readonly times = new WorkTimes();
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

	isLocal({record}: TargetPlace): boolean {
		return record.target.failureDomain === this._failureDomain;
	}

	/** Whether the last report, which also comes with each answer, is as good as a probe. */
	isFresh({record}: TargetPlace, now: number): boolean {
		return (record.getLoad(now)?.ageMs ?? Number.POSITIVE_INFINITY) <= freshMs;
	}

	/** Whether a report tells that asking again so soon is of no use. */
	isHopeless({record}: TargetPlace, now: number): boolean {
		const reported = record.getLoad(now);
		if (reported === undefined || reported.ageMs > hopelessMs) {
			return false;
		}

		const {running, waiting, slots, slowdown} = reported.load;
		return slowdown > slowedFactor || running + waiting >= computeTargetLimit(slots);
	}

	/** How promising a target is from what is known already, as a factor of the usual time; the lowest is asked first. */
	rankBeforeProbe(place: TargetPlace, now: number): number {
		const {record, client} = place;
		const reported = record.getLoad(now);
		const isHint = reported !== undefined && reported.ageMs < hintMs;
		const slowdown = isHint ? reported.load.slowdown : unknownSlowdown;
		const occupied = Math.max(record.inFlight, isHint ? reported.load.running + reported.load.waiting : 0);
		return (slowdown * record.getSlowness(now)) + (2 * (occupied / record.target.slots))
			+ (this.isLocal(place) ? 0 : remoteCost) + (client.hasIdleConnection ? 0 : connectCost);
	}

	/** Time that work takes if it starts now, as a factor of the usual time. */
	computeStartFactor({record}: TargetPlace, now: number): number {
		const load = record.getLoad(now)?.load ?? this._assumeLoad(record);
		return computeStartFactor({load, inFlight: record.inFlight, isWarming: record.isWarming(now)});
	}

	/** Rates a target by its report if that is recent, or by own requests where targets report nothing; undefined when its load is not known. */
	rate(place: TargetPlace, now: number): TargetChoice | undefined {
		const {record} = place;
		const reported = record.getLoad(now);
		const isKnown = reported !== undefined && reported.ageMs <= knownMs;
		if (!isKnown && this._reportsLoad === true) {
			return undefined;
		}

		const load = isKnown ? reported.load : this._assumeLoad(record);
		const {inFlight} = record;
		const startFactor = computeStartFactor({load, inFlight, isWarming: record.isWarming(now)});
		const slowness = record.getSlowness(now);
		const estimateMs = estimateDuration({
			load, inFlight, usualMs: this.times.usualMs, startFactor, slowness, failureRate: record.failureRate,
		});
		const isFree = Math.max(load.running + load.waiting, inFlight) < computeTargetLimit(load.slots);
		return {
			place, estimateMs, isFree, isIdle: isFree && startFactor * slowness <= idleFactor,
		};
	}

	private _assumeLoad({inFlight, target}: TargetRecord): TargetLoad {
		return {
			running: inFlight, waiting: 0, slots: target.slots, slowdown: unknownSlowdown,
		};
	}
}
