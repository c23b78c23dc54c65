import type {ServiceSpec} from '../../common/service-spec.js';
import type {TargetCounts} from '../../common/target-counts.js';
import type {TargetSpec} from '../../common/target-spec.js';
import {computeHash} from '../compute-hash.js';
import {DecayingMean} from './decaying-mean.js';
import {PeerCounts} from './peer-counts.js';
import {TargetLoad} from './target-load.js';

type ServiceLoadOptions = {
	readonly instanceId: string;
	readonly failureDomain: string;
	/** Age from which a peer's counts are ignored, in ms. */
	readonly peerExpiryMs: number;
};

type TargetCriteria = {
	readonly isLong: boolean;
	readonly excludedTargets: readonly string[];
	/** Extra time at a slow target beyond which it is faster to wait for another slot, in ms. */
	readonly maxExtraMs: number;
	/** Whether a request may be sent to a full target, so that a freed slot does not stay idle for a round trip. */
	readonly isOvercommitAllowed: boolean;
};

type TargetChoice = {
	readonly target: TargetSpec;
	readonly load: TargetLoad;
};

type Candidate = TargetChoice & {readonly score: number; readonly shortMs: number};

const usualTimeConstantMs = 2000;
const defaultUsualMs = 10;
/** Share of ejected targets above which ejections are ignored. */
const panicThreshold = 0.5;
/** Added to the score of a target in another failure domain. */
const crossDomainCostMs = 1;
/** Weights of terms of the score, as a share of the usual time. */
const biasWeight = 0.2;
const utilizationWeight = 0.5;
/** A target whose short requests take longer than this multiple of the usual time is slow. */
const slowFactor = 1.5;

/** Returns a fixed number in [0, 1) that makes instances with the same view prefer different targets. */
const computeBias = (instanceId: string, targetId: string): number => computeHash(`${instanceId}/${targetId}`) / (2 ** 32);

/** Tracks the load of all targets of a service and chooses among them. */
export class ServiceLoad {
	readonly peers: PeerCounts;
	private readonly _targets = new Map<string, {readonly load: TargetLoad; readonly bias: number}>();
	private readonly _usualMs = new DecayingMean(usualTimeConstantMs);

	constructor(private _spec: ServiceSpec, private readonly _options: ServiceLoadOptions) {
		this.peers = new PeerCounts(_options.peerExpiryMs);
		for (const target of _spec.targets) {
			this._addTarget(target.id, undefined);
		}
	}

	get spec(): ServiceSpec {
		return this._spec;
	}

	/** Usual time of a short request at the service's targets, in ms. */
	get usualMs(): number {
		return this._usualMs.mean ?? defaultUsualMs;
	}

	/** Requests of this instance in flight at all targets. */
	get inFlight(): number {
		let sum = 0;
		for (const {load} of this._targets.values()) {
			sum += load.inFlight;
		}

		return sum;
	}

	/** Applies a changed spec; a target that is added to a known service starts cold. */
	updateSpec(spec: ServiceSpec, now: number): void {
		if (spec === this._spec) {
			return;
		}

		this._spec = spec;
		for (const target of spec.targets) {
			if (!this._targets.has(target.id)) {
				this._addTarget(target.id, now);
			}
		}

		const known = new Set(spec.targets.map(target => target.id));
		for (const [id, {load}] of this._targets) {
			if (!known.has(id) && load.inFlight === 0) {
				this._targets.delete(id);
			}
		}
	}

	/** The state of a target; undefined when the service has no such target. */
	getTarget(id: string): TargetLoad | undefined {
		return this._targets.get(id)?.load;
	}

	/** Records the time of a short request, in ms, for the usual time. */
	recordShortTime(slotTimeMs: number, now: number): void {
		this._usualMs.addSample(slotTimeMs, now);
	}

	/** Applies the counts, times and drain signals that a peer sent; a snapshot replaces its earlier counts. */
	acceptCounts(peerId: string, counts: readonly TargetCounts[], now: number, isSnapshot: boolean): void {
		this.peers.acceptCounts(peerId, new Map(counts.map(targetCounts => [targetCounts.targetId, targetCounts])), now, isSnapshot);
		for (const {targetId, shortMs, isDraining} of counts) {
			const load = this.getTarget(targetId);
			if (shortMs > 0) {
				load?.addPeerShortMs(shortMs, now);
			}

			if (isDraining) {
				load?.markDrainingByPeer(now);
			}
		}
	}

	/** Estimated free slots of a target. */
	estimateFreeSlots(target: TargetSpec, now: number): number {
		const load = this.getTarget(target.id);
		if (load === undefined || target.leaving) {
			return 0;
		}

		load.setPeerCount(this.peers.sumTarget(target.id, now));
		return load.estimateFreeSlots(now, this._spec.slotsPerTarget, this._spec.warmUpMs);
	}

	/** Whether any target is neither leaving nor draining. */
	hasUsableTarget(now: number): boolean {
		return this._spec.targets.some(target => !target.leaving && !(this.getTarget(target.id)?.isDraining(now) ?? true));
	}

	/** The best target for a request; undefined when waiting is better. */
	chooseTarget(criteria: TargetCriteria, now: number): TargetChoice | undefined {
		return this._chooseFreeTarget(criteria, now) ?? (criteria.isOvercommitAllowed && !criteria.isLong ? this._chooseOvercommitTarget(criteria, now) : undefined);
	}

	/** Estimated free slots of all targets. */
	countFreeSlots(now: number): number {
		let sum = 0;
		for (const target of this._spec.targets) {
			sum += this.estimateFreeSlots(target, now);
		}

		return sum;
	}

	private _chooseFreeTarget(criteria: TargetCriteria, now: number): TargetChoice | undefined {
		const isEjectionApplied = this._countEjected(now) <= this._spec.targets.length * panicThreshold;
		const isAllExcluded = this._spec.targets.every(target => criteria.excludedTargets.includes(target.id));
		let best: Candidate | undefined;
		for (const target of this._spec.targets) {
			const candidate = !isAllExcluded && criteria.excludedTargets.includes(target.id) ? undefined : this._scoreTarget(target, criteria.isLong, now);
			if (candidate !== undefined && (best === undefined || candidate.score < best.score) && !(isEjectionApplied && candidate.load.isEjected(now))) {
				best = candidate;
			}
		}

		const isTooSlow = best !== undefined && !criteria.isLong && best.shortMs > this.usualMs * slowFactor && best.shortMs - this.usualMs > criteria.maxExtraMs;
		return isTooSlow ? undefined : best;
	}

	/** The quickest full target that can take one more short request. */
	private _chooseOvercommitTarget(criteria: TargetCriteria, now: number): TargetChoice | undefined {
		const {slotsPerTarget} = this._spec;
		const {usualMs} = this;
		let best: Candidate | undefined;
		for (const target of this._spec.targets) {
			const load = this.getTarget(target.id);
			if (load === undefined || target.leaving || criteria.excludedTargets.includes(target.id) || load.isEjected(now)) {
				continue;
			}

			load.setPeerCount(this.peers.sumTarget(target.id, now));
			const shortMs = load.estimateShortMs(usualMs, now);
			if (load.canOvercommit(now, slotsPerTarget) && shortMs <= usualMs * slowFactor && (best === undefined || shortMs < best.score)) {
				best = {
					target, load, score: shortMs, shortMs,
				};
			}
		}

		return best;
	}

	private _scoreTarget(target: TargetSpec, isLong: boolean, now: number): Candidate | undefined {
		const freeSlots = this.estimateFreeSlots(target, now);
		const state = this._targets.get(target.id);
		if (freeSlots < 1 || state === undefined || (isLong && !state.load.hasRoomForLong(this._spec.longSlotsPerTarget))) {
			return undefined;
		}

		const {usualMs} = this;
		const shortMs = state.load.estimateShortMs(usualMs, now);
		const utilization = 1 - (freeSlots / this._spec.slotsPerTarget);
		const domainCostMs = target.failureDomain === this._options.failureDomain ? 0 : crossDomainCostMs;
		const score = shortMs + domainCostMs + (usualMs * ((utilization * utilizationWeight) + (state.bias * biasWeight)));
		return {
			target, load: state.load, score, shortMs,
		};
	}

	private _countEjected(now: number): number {
		let count = 0;
		for (const {load} of this._targets.values()) {
			count += load.isEjected(now) ? 1 : 0;
		}

		return count;
	}

	private _addTarget(id: string, warmingSince: number | undefined): void {
		this._targets.set(id, {load: new TargetLoad(warmingSince), bias: computeBias(this._options.instanceId, id)});
	}
}
