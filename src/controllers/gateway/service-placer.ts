import {setTimeout as sleep} from 'node:timers/promises';
import {err, ok, type Result} from 'neverthrow';
import type {Clock} from '../../common/clock.js';
import type {DisposableLike} from '../../common/disposable-like.js';
import {ErrorKind} from '../../common/error-kind.js';
import {AttemptEnd} from '../../common/gateway/attempt-end.js';
import type {GatewayService} from '../../common/gateway/gateway-service.js';
import type {GatewayTarget} from '../../common/gateway/gateway-target.js';
import {RequestError} from '../../common/request-error.js';
import {TargetClient} from '../../io/gateway/target-client.js';
import {estimateDuration} from '../../policy/gateway/estimate-duration.js';
import {RateBudget} from '../../policy/gateway/rate-budget.js';
import {TargetRecord} from '../../policy/gateway/target-record.js';
import {WaitLine} from '../../policy/gateway/wait-line.js';
import type {PlacementDemand} from './placement-demand.js';
import type {TargetLease} from './target-lease.js';
import type {TargetProbe} from './target-probe.js';
import type {TargetProber} from './target-prober.js';

type ServicePlacerOptions = {
	readonly service: GatewayService;
	readonly failureDomain: string;
	readonly clock: Clock;
	readonly random: () => number;
	readonly prober: TargetProber;
	/** Connections that this instance may hold to one target. */
	readonly maxConnections: number;
	/** Probes that this instance may send to one target at this moment, a second. */
	readonly getProbeRate: () => number;
};

type Place = {readonly record: TargetRecord; readonly client: TargetClient; readonly probes: RateBudget};
type Waiter = {
	readonly demand: PlacementDemand;
	readonly objectiveAt: number;
	readonly priority: number;
	isSettled: boolean;
	settle(result: Result<TargetLease, RequestError>): void;
};
type Choice = {readonly place: Place; readonly estimateMs: number; readonly isFree: boolean; readonly isIdle: boolean};

/** Targets that are asked for their load when a request is placed, and how many of them at a time. */
const maxCandidates = 9;
const batchSize = 4;
/** Age up to which a report tells which targets to ask first, in ms: neighbours on their machines change several times a second. */
const hintMs = 200;
/** What a target in another failure domain has to be faster by to be asked first, as a factor of the usual time. */
const remoteCost = 0.5;
/** Time for which answers of probes are awaited, in ms: two round trips across failure domains, with the targets' own time. */
const probeWaitMs = 8;
/** The same within a failure domain, in ms. */
const localProbeWaitMs = 3;
/** Estimated duration up to which a target is taken without asking those of other domains, as a factor of the usual one. */
const idleFactor = 1.3;
/** Age up to which a report is as good as a probe, in ms. */
const freshMs = 5;
/** Time after which requests that found no free target look again, in ms, if nothing is released before. */
const lookAgainMs = 25;
/** Weight of the newest answer in the usual duration. */
const usualWeight = 0.05;
/** Time for which unused probes are saved up, in s: the bound holds over a day, and crests last some seconds. */
const probeBurstSeconds = 5;
/** Shortest time after which a refused request is worth another try, in ms. */
const refusalWaitMs = 250;

/** Places the requests of one service: asks a few targets for their load, takes the best, and holds requests while all are busy. */
export class ServicePlacer implements DisposableLike {
	private readonly _places = new Map<string, Place>();
	private readonly _waiters = new WaitLine<Waiter>();
	private _placingCount = 0;
	/** Time that work takes on a target that is not slowed, in ms. */
	private _usualMs: number;
	/** Time that answers took lately, in ms. */
	private _meanMs: number;
	/** Undefined until an answer shows whether the service's targets report their load. */
	private _reportsLoad: boolean | undefined;
	private _timer: NodeJS.Timeout | undefined;

	constructor(private readonly _options: ServicePlacerOptions) {
		this._usualMs = 200;
		this._meanMs = 200;
	}

	/** Requests that wait for a place. */
	get waitingCount(): number {
		return this._waiters.length;
	}

	/** Takes the service's targets from the newest list; requests in flight at others go on. */
	updateTargets(targets: readonly GatewayTarget[]): void {
		const {clock, maxConnections, getProbeRate} = this._options;
		const listed = new Map(targets.filter(target => !target.isLeaving).map(target => [`${target.id} ${target.startedAt}`, target]));
		for (const [key, place] of this._places) {
			const target = listed.get(key);
			if (target?.host !== place.record.target.host || target.port !== place.record.target.port) {
				this._places.delete(key);
				this._disposeWhenIdle(place);
			}
		}

		for (const [key, target] of listed) {
			if (!this._places.has(key)) {
				this._places.set(key, {
					record: new TargetRecord(target, clock.now()),
					client: new TargetClient({host: target.host, port: target.port, maxConnections}),
					probes: new RateBudget({getRate: getProbeRate, burstSeconds: probeBurstSeconds}, clock.now()),
				});
			}
		}

		this._pump();
	}

	/** Waits for a place at a target; refuses with an error whose outcome is not run. */
	async acquire(demand: PlacementDemand): Promise<Result<TargetLease, RequestError>> {
		if (this._places.size === 0) {
			return err(new RequestError(ErrorKind.NoTarget, `service "${demand.service}" has no target`, refusalWaitMs));
		}

		if ([...this._places.values()].every(({record}) => demand.excludedTargets.includes(record.target.id))) {
			return err(new RequestError(ErrorKind.NoTarget, `each of the ${this._places.size} targets of service "${demand.service}" was tried`, refusalWaitMs));
		}

		const waitMs = this._predictWait();
		if (waitMs > 0 && this._options.clock.now() + waitMs > demand.objectiveAt - this._usualMs) {
			const detail = `${this._waiters.length} requests of service "${demand.service}" wait, for about ${Math.round(waitMs)} ms`;
			return err(new RequestError(ErrorKind.QueueFull, detail, Math.max(refusalWaitMs, waitMs)));
		}

		return new Promise(resolve => {
			const waiter: Waiter = {
				demand,
				objectiveAt: demand.objectiveAt,
				priority: demand.priority,
				isSettled: false,
				settle(result) {
					if (!waiter.isSettled) {
						waiter.isSettled = true;
						resolve(result);
					}
				},
			};
			demand.signal.addEventListener('abort', () => {
				this._waiters.remove(waiter);
				waiter.settle(err(demand.signal.reason as RequestError));
			}, {once: true});
			this._waiters.add(waiter);
			this._pump();
		});
	}

	/** Takes a place at once if a target is idle enough; used for hedges. */
	async tryAcquire(demand: PlacementDemand): Promise<TargetLease | undefined> {
		if (this._waiters.length > 0) {
			return undefined;
		}

		const choice = await this._choose(demand);
		return choice?.isFree ? this._grant(choice.place) : undefined;
	}

	dispose(): void {
		clearTimeout(this._timer);
		for (const place of this._places.values()) {
			this._disposeWhenIdle(place);
		}

		this._places.clear();
	}

	/** Objectives before this time cannot be met by a request that is placed now, in ms. */
	private get _latestStart(): number {
		return this._options.clock.now() + this._usualMs;
	}

	/** Time until a request that comes now would be placed, from the places that this instance's requests free, in ms. */
	private _predictWait(): number {
		const ahead = this._waiters.countTimely(this._latestStart);
		let inFlight = 0;
		for (const {record} of this._places.values()) {
			inFlight += record.inFlight;
		}

		return ahead * this._meanMs / Math.max(1, inFlight);
	}

	private _pump(): void {
		while (this._waiters.length > 0 && this._placingCount < this._countFree()) {
			const waiter = this._waiters.take(this._latestStart);
			if (waiter !== undefined && !waiter.isSettled) {
				void this._place(waiter);
			}
		}

		if (this._waiters.length > 0) {
			this._waitToLookAgain();
		}
	}

	private _waitToLookAgain(): void {
		this._timer ??= setTimeout(() => {
			this._timer = undefined;
			this._pump();
		}, lookAgainMs);
	}

	/** Places that this instance's own requests leave free. */
	private _countFree(): number {
		const now = this._options.clock.now();
		let free = 0;
		for (const {record} of this._places.values()) {
			if (!record.isBlocked(now)) {
				free += Math.max(0, record.target.slots - record.inFlight);
			}
		}

		// With every target blocked, one request at a time finds out whether they are back.
		return Math.max(1, free);
	}

	private async _place(waiter: Waiter): Promise<void> {
		this._placingCount++;
		const choice = await this._choose(waiter.demand);
		this._placingCount--;
		if (waiter.isSettled) {
			this._pump();
			return;
		}

		if (choice?.isFree) {
			waiter.settle(ok(this._grant(choice.place)));
			this._pump();
			return;
		}

		this._waiters.add(waiter);
		this._waitToLookAgain();
	}

	/** Asks a few targets at a time, those that seem best first, until one of them is idle. */
	private async _choose(demand: PlacementDemand): Promise<Choice | undefined> {
		const candidates = this._listCandidates(demand);
		if (this._reportsLoad === false) {
			return this._rateAll(candidates);
		}

		let asked = 0;
		let best = this._rateAll(candidates.filter(({record}) => this._isFresh(record)));
		while (asked < candidates.length && best?.isIdle !== true) {
			const batch = candidates.slice(asked, asked + batchSize);
			asked += batch.length;
			// Each batch is asked only because the one before it had no idle target.

			await this._probe(batch, batch.every(place => this._isLocal(place)) ? localProbeWaitMs : probeWaitMs);
			best = this._rateAll(candidates.slice(0, asked));
		}

		return best;
	}

	/** Whether the target's last report, which also comes with each answer, is as good as a probe. */
	private _isFresh(record: TargetRecord): boolean {
		return (record.getLoad(this._options.clock.now())?.ageMs ?? Number.POSITIVE_INFINITY) <= freshMs;
	}

	private _isLocal({record}: Place): boolean {
		return record.target.failureDomain === this._options.failureDomain;
	}

	private _rateAll(candidates: readonly Place[]): Choice | undefined {
		const now = this._options.clock.now();
		let best: Choice | undefined;
		for (const place of candidates) {
			const choice = this._rate(place, now);
			if (choice !== undefined && (best === undefined || Number(choice.isFree) > Number(best.isFree)
				|| (choice.isFree === best.isFree && choice.estimateMs < best.estimateMs))) {
				best = choice;
			}
		}

		return best;
	}

	private _listCandidates({excludedTargets}: PlacementDemand): Place[] {
		const {clock, random} = this._options;
		const now = clock.now();
		const all = [...this._places.values()].filter(({record}) => !excludedTargets.includes(record.target.id));
		const healthy = all.filter(({record}) => !record.isUnhealthy(now));
		const open = (healthy.length > 0 ? healthy : all).filter(({record}) => !record.isBlocked(now));
		const free = open.filter(({record}) => record.inFlight < record.target.slots);
		const found = free.length > 0 ? free : (open.length > 0 ? [] : all);
		return found
			.map(place => ({place, rank: this._rankBeforeProbe(place, now) + (random() / 2)}))
			.sort((a, b) => a.rank - b.rank)
			.slice(0, maxCandidates)
			.map(({place}) => place);
	}

	/** How promising a target is from what is known already; the lowest is asked first. */
	private _rankBeforeProbe(place: Place, now: number): number {
		const {record} = place;
		const reported = record.getLoad(now);
		const isHint = reported !== undefined && reported.ageMs < hintMs;
		const slowdown = isHint ? reported.load.slowdown : 1.5;
		const occupied = Math.max(record.inFlight, isHint ? reported.load.running + reported.load.waiting : 0);
		return (slowdown * record.getSlowness(now)) + (2 * (occupied / record.target.slots)) + (this._isLocal(place) ? 0 : remoteCost);
	}

	private async _probe(candidates: readonly Place[], waitMs: number): Promise<void> {
		const {clock, prober, service} = this._options;
		const now = clock.now();
		const probes = candidates.filter(({record, probes}) => !this._isFresh(record) && probes.tryTake(now)).map(async place => {
			const {record, client} = place;
			const probe = await prober.probe(client, service.healthPath, record.target.id);
			const answeredAt = clock.now();
			if (probe === undefined) {
				record.recordSilence(answeredAt);
			} else if (probe.targetId !== undefined && probe.targetId !== record.target.id) {
				record.recordEnd(AttemptEnd.Misdirected, answeredAt);
			} else {
				record.recordHealth(probe.isHealthy, answeredAt);
				this._recordReport(record, probe, answeredAt);
			}
		});
		if (probes.length > 0) {
			await Promise.race([Promise.all(probes), sleep(waitMs)]);
		}
	}

	private _recordReport(record: TargetRecord, {load, isHealthy}: TargetProbe, now: number): void {
		if (load !== undefined) {
			this._reportsLoad = true;
			record.recordLoad(load, now);
		} else if (isHealthy) {
			this._reportsLoad ??= false;
		}
	}

	private _rate(place: Place, now: number): Choice | undefined {
		const {record} = place;
		const {slots} = record.target;
		if (record.isBlocked(now) && this._places.size > 1 && record.getLoad(now) === undefined) {
			return undefined;
		}

		const reported = record.getLoad(now);
		const isFresh = reported !== undefined && reported.ageMs <= probeWaitMs + freshMs;
		const load = isFresh
			? reported.load
			: {
				running: record.inFlight, waiting: 0, slots, slowdown: reported === undefined ? 1.5 : 2,
			};
		const estimateMs = estimateDuration({
			load, inFlight: record.inFlight, usualMs: this._usualMs, isWarming: record.isWarming(now), slowness: record.getSlowness(now), failureRate: record.failureRate,
		});
		const isFree = Math.max(load.running + load.waiting, record.inFlight) < load.slots && (!record.isUnhealthy(now) || this._areAllUnhealthy(now));
		return {
			place, estimateMs, isFree, isIdle: isFree && estimateMs <= this._usualMs * idleFactor,
		};
	}

	private _areAllUnhealthy(now: number): boolean {
		return [...this._places.values()].every(({record}) => record.isUnhealthy(now));
	}

	private _grant(place: Place): TargetLease {
		const {clock} = this._options;
		const {record, client} = place;
		const startedAt = clock.now();
		const report = record.getLoad(startedAt);
		const slowdown = report?.load.slowdown ?? 1;
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
				const now = clock.now();
				if (load !== undefined) {
					this._reportsLoad = true;
					record.recordLoad(load, now);
				}

				record.recordEnd(end, now);
				if (end === AttemptEnd.Answered) {
					this._recordDuration(record, now - startedAt, slowdown, now);
				}

				this._pump();
			},
		};
	}

	private _recordDuration(record: TargetRecord, durationMs: number, slowdown: number, now: number): void {
		const expectedMs = Math.max(1, this._usualMs * Math.max(1, slowdown));
		record.recordSlowness(durationMs / expectedMs, now);
		this._usualMs += ((durationMs / Math.max(1, slowdown)) - this._usualMs) * usualWeight;
		this._meanMs += (durationMs - this._meanMs) * usualWeight;
	}

	private _disposeWhenIdle({record, client}: Place): void {
		const timer = setInterval(() => {
			if (record.inFlight === 0) {
				clearInterval(timer);
				client.dispose();
			}
		}, 1000).unref();
	}
}
