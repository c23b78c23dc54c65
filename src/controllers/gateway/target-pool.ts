import {setTimeout as sleep} from 'node:timers/promises';
import type {Clock} from '../../common/clock.js';
import type {DisposableLike} from '../../common/disposable-like.js';
import {AttemptEnd} from '../../common/gateway/attempt-end.js';
import type {GatewayService} from '../../common/gateway/gateway-service.js';
import type {GatewayTarget} from '../../common/gateway/gateway-target.js';
import type {TargetLoad} from '../../common/gateway/target-load.js';
import type {Metrics} from '../../common/metrics.js';
import {TargetClient} from '../../io/gateway/target-client.js';
import {computeStartFactor} from '../../policy/gateway/compute-start-factor.js';
import {computeTargetLimit} from '../../policy/gateway/compute-target-limit.js';
import {estimateDuration} from '../../policy/gateway/estimate-duration.js';
import {RateBudget} from '../../policy/gateway/rate-budget.js';
import {TargetRecord} from '../../policy/gateway/target-record.js';
import {WorkTimes} from '../../policy/gateway/work-times.js';
import type {TargetChoice} from './target-choice.js';
import type {TargetLease} from './target-lease.js';
import type {TargetPlace} from './target-place.js';
import type {TargetProbe} from './target-probe.js';
import type {TargetProber} from './target-prober.js';

type TargetPoolOptions = {
	readonly service: GatewayService;
	readonly failureDomain: string;
	readonly clock: Clock;
	readonly random: () => number;
	readonly prober: TargetProber;
	readonly metrics: Metrics;
	/** Connections that this instance may hold to one target. */
	readonly maxConnections: number;
	/** Probes that this instance may send to one target at this moment, a second. */
	readonly getProbeRate: () => number;
	/** Called after a place was given back. */
	readonly onRelease: () => void;
};

/** Targets that are asked for their load when a request is placed, and how many of them at a time. */
const maxCandidates = 9;
const batchSize = 4;
/** Age up to which a report tells which targets to ask first, in ms: neighbours on their machines change several times a second. */
const hintMs = 200;
/** What a target in another failure domain has to be faster by to be asked first, as a factor of the usual time. */
const remoteCost = 1;
/** What a target to which no connection is open has to be faster by, likewise; connections are priced. */
const connectCost = 0.25;
/** Largest chance part of a rank, likewise, so that instances do not all ask the same targets. */
const rankSpread = 0.5;
/** Time for which answers of probes are awaited, in ms: two round trips across failure domains, with the targets' own time. */
const probeWaitMs = 8;
/** The same within a failure domain, in ms. */
const localProbeWaitMs = 3;
/** Slowdown up to which a target counts as idle, as a factor of the usual time. */
const idleFactor = 1.3;
/** Age up to which a report that shows no room, or a slowed target, spares another probe, in ms: a third of the time between changes. */
const hopelessMs = 80;
/** Slowdown from which a target is left alone for a while, as a factor of the usual time. */
const slowedFactor = 2;
/** Age up to which a report is as good as a probe, in ms. */
const freshMs = 5;
/** Slowdown that is assumed of a target that has reported none. */
const unknownSlowdown = 1.5;
/** Time for which unused probes are saved up, in s: the bound holds over a day, and crests last some seconds. */
const probeBurstSeconds = 10;
/** Time between two checks whether a target that has left is still at work, in ms. */
const disposePollMs = 1000;

/** The targets of one service: what is known of each, probes, and the right to send to them. */
export class TargetPool implements DisposableLike {
	readonly times = new WorkTimes();
	private readonly _places = new Map<string, TargetPlace>();
	/** Undefined until an answer shows whether the service's targets report their load. */
	private _reportsLoad: boolean | undefined;

	constructor(private readonly _options: TargetPoolOptions) {}

	get size(): number {
		return this._places.size;
	}

	/** Requests of this instance that are at targets. */
	get inFlight(): number {
		let sum = 0;
		for (const {record} of this._places.values()) {
			sum += record.inFlight;
		}

		return sum;
	}

	/** Takes the service's targets from the newest list; requests in flight at others go on. */
	update(targets: readonly GatewayTarget[]): void {
		const {clock, maxConnections, getProbeRate} = this._options;
		const listed = new Map(targets.filter(target => !target.isLeaving).map(target => [`${target.id} ${target.startedAt}`, target]));
		const gone = new Map<string, TargetRecord>();
		for (const [key, place] of this._places) {
			const target = listed.get(key);
			if (target?.host !== place.record.target.host || target.port !== place.record.target.port) {
				gone.set(place.record.target.id, place.record);
				this._places.delete(key);
				this._disposeWhenIdle(place);
			}
		}

		for (const [key, target] of listed) {
			if (!this._places.has(key)) {
				this._places.set(key, {
					record: new TargetRecord(target, clock.now(), gone.get(target.id)),
					client: new TargetClient({host: target.host, port: target.port, maxConnections}),
					probes: new RateBudget({getRate: getProbeRate, burstSeconds: probeBurstSeconds}, clock.now()),
					probing: undefined,
				});
			}
		}
	}

	/** Whether each target is among those not to use again. */
	isExhausted(excludedTargets: readonly string[]): boolean {
		return [...this._places.values()].every(({record}) => excludedTargets.includes(record.target.id));
	}

	/** The best of the targets whose load is known at this moment. */
	chooseKnown(excludedTargets: readonly string[]): TargetChoice | undefined {
		return this._rateAll(this._listCandidates(excludedTargets));
	}

	/** Asks a few targets at a time, those first that seem best, until one of them is idle; undefined when none has room. */
	async chooseAsked(excludedTargets: readonly string[]): Promise<TargetChoice | undefined> {
		const candidates = this._listCandidates(excludedTargets).filter(({record}) => !this._isHopeless(record)).slice(0, maxCandidates);
		let asked = 0;
		let best = this._rateAll(candidates);
		while (this._reportsLoad !== false && asked < candidates.length && best?.isIdle !== true) {
			const batch = this._cutBatch(candidates, asked);
			asked += batch.length;
			await this._probeAll(batch);
			best = this._rateAll(candidates);
		}

		return best;
	}

	/** Takes a place at a target; the lease gives it back. */
	grant({place}: TargetChoice): TargetLease {
		const {clock, service, metrics, onRelease} = this._options;
		const {record, client} = place;
		const startedAt = clock.now();
		const report = record.getLoad(startedAt);
		const startFactor = this._computeStartFactor(place, startedAt);
		let isReleased = false;
		record.inFlight++;
		record.addRunning();
		return {
			target: record.target,
			report,
			client,
			release: (end, load) => {
				if (isReleased) {
					return;
				}

				isReleased = true;
				record.inFlight--;
				metrics.countEvent('target.attempts', {service: service.name, end});
				const now = clock.now();
				this._recordAnswer(record, load, now);
				record.recordEnd(end, now);
				if (end === AttemptEnd.Answered) {
					record.recordSlowness((now - startedAt) / (this.times.usualMs * startFactor), now);
					this.times.record(now - startedAt, startFactor);
				}

				onRelease();
			},
		};
	}

	dispose(): void {
		for (const place of this._places.values()) {
			this._disposeWhenIdle(place);
		}

		this._places.clear();
	}

	private _isFresh(record: TargetRecord): boolean {
		return (record.getLoad(this._options.clock.now())?.ageMs ?? Number.POSITIVE_INFINITY) <= freshMs;
	}

	/** The next targets to ask; those of the own failure domain by themselves, since bytes between domains are dear. */
	private _cutBatch(candidates: readonly TargetPlace[], asked: number): TargetPlace[] {
		const batch = candidates.slice(asked, asked + batchSize);
		const local = batch.findIndex(place => !this._isLocal(place));
		return local > 0 ? batch.slice(0, local) : batch;
	}

	/** Whether a report tells that asking again so soon is of no use. */
	private _isHopeless(record: TargetRecord): boolean {
		const reported = record.getLoad(this._options.clock.now());
		if (reported === undefined || reported.ageMs > hopelessMs) {
			return false;
		}

		const {running, waiting, slots, slowdown} = reported.load;
		return slowdown > slowedFactor || running + waiting >= computeTargetLimit(slots);
	}

	private _isLocal({record}: TargetPlace): boolean {
		return record.target.failureDomain === this._options.failureDomain;
	}

	private _rateAll(candidates: readonly TargetPlace[]): TargetChoice | undefined {
		const now = this._options.clock.now();
		let best: TargetChoice | undefined;
		for (const place of candidates) {
			const choice = this._rate(place, now);
			if (choice?.isFree && (best === undefined || choice.estimateMs < best.estimateMs)) {
				best = choice;
			}
		}

		return best;
	}

	/** Targets that may have room, the most promising first. */
	private _listCandidates(excludedTargets: readonly string[]): TargetPlace[] {
		const {clock, random} = this._options;
		const now = clock.now();
		const all = [...this._places.values()].filter(({record}) => !excludedTargets.includes(record.target.id));
		const healthy = all.filter(({record}) => !record.isUnhealthy(now));
		const open = (healthy.length > 0 ? healthy : all).filter(({record}) => !record.isBlocked(now));
		// With every target blocked, requests find out whether they are back.
		return (open.length > 0 ? open : all)
			.filter(({record}) => record.inFlight < computeTargetLimit(record.target.slots))
			.map(place => ({place, rank: this._rankBeforeProbe(place, now) + (random() * rankSpread)}))
			.sort((a, b) => a.rank - b.rank)
			.map(({place}) => place);
	}

	/** How promising a target is from what is known already; the lowest is asked first. */
	private _rankBeforeProbe(place: TargetPlace, now: number): number {
		const {record} = place;
		const reported = record.getLoad(now);
		const isHint = reported !== undefined && reported.ageMs < hintMs;
		const slowdown = isHint ? reported.load.slowdown : unknownSlowdown;
		const occupied = Math.max(record.inFlight, isHint ? reported.load.running + reported.load.waiting : 0);
		return (slowdown * record.getSlowness(now)) + (2 * (occupied / record.target.slots))
			+ (this._isLocal(place) ? 0 : remoteCost) + (place.client.hasIdleConnection ? 0 : connectCost);
	}

	private async _probeAll(places: readonly TargetPlace[]): Promise<void> {
		const waitMs = places.every(place => this._isLocal(place)) ? localProbeWaitMs : probeWaitMs;
		const probes = places.filter(({record}) => !this._isFresh(record)).map(async place => this._probeOnce(place));
		if (probes.length > 0) {
			await Promise.race([Promise.all(probes), sleep(waitMs)]);
		}
	}

	private async _probeOnce(place: TargetPlace): Promise<void> {
		if (place.probing === undefined && place.probes.tryTake(this._options.clock.now())) {
			place.probing = this._probe(place);
		}

		return place.probing;
	}

	private async _probe(place: TargetPlace): Promise<void> {
		const {clock, prober, service, metrics} = this._options;
		const {record, client} = place;
		const probe = await prober.probe(client, service.healthPath, record.target.id);
		place.probing = undefined;
		metrics.countEvent('target.probes', {service: service.name, result: probe === undefined ? 'silent' : (probe.isHealthy ? 'healthy' : 'unhealthy')});
		const now = clock.now();
		if (probe === undefined) {
			record.recordSilence(now);
		} else if (probe.targetId !== undefined && probe.targetId !== record.target.id) {
			record.recordEnd(AttemptEnd.Misdirected, now);
		} else {
			record.recordHealth(probe.isHealthy, now);
			this._recordProbe(record, probe, now);
		}
	}

	private _recordProbe(record: TargetRecord, {load, isHealthy}: TargetProbe, now: number): void {
		if (load !== undefined) {
			this._reportsLoad = true;
			record.recordLoad(load, now);
		} else if (isHealthy) {
			this._reportsLoad ??= false;
		}
	}

	/** Takes the load that came with an answer, which still counts the answered request. */
	private _recordAnswer(record: TargetRecord, load: TargetLoad | undefined, now: number): void {
		if (load !== undefined) {
			this._reportsLoad = true;
			record.recordLoad({...load, running: Math.max(0, load.running - 1)}, now);
		}
	}

	private _computeStartFactor({record}: TargetPlace, now: number): number {
		const load = record.getLoad(now)?.load ?? this._assumeLoad(record);
		return computeStartFactor({load, inFlight: record.inFlight, isWarming: record.isWarming(now)});
	}

	private _assumeLoad({inFlight, target}: TargetRecord): TargetLoad {
		return {
			running: inFlight, waiting: 0, slots: target.slots, slowdown: unknownSlowdown,
		};
	}

	/** Rates a target by its report if that is recent, or by own requests where targets report nothing; undefined when its load is not known. */
	private _rate(place: TargetPlace, now: number): TargetChoice | undefined {
		const {record} = place;
		const reported = record.getLoad(now);
		const isKnown = reported !== undefined && reported.ageMs <= probeWaitMs + freshMs;
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
		const isFree = Math.max(load.running + load.waiting, inFlight) < computeTargetLimit(load.slots) && (!record.isUnhealthy(now) || this._areAllUnhealthy(now));
		return {
			place, estimateMs, isFree, isIdle: isFree && startFactor * slowness <= idleFactor,
		};
	}

	private _areAllUnhealthy(now: number): boolean {
		return [...this._places.values()].every(({record}) => record.isUnhealthy(now));
	}

	private _disposeWhenIdle({record, client}: TargetPlace): void {
		const timer = setInterval(() => {
			if (record.inFlight === 0) {
				clearInterval(timer);
				client.dispose();
			}
		}, disposePollMs).unref();
	}
}
