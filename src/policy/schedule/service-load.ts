import type {ServiceSpec} from '../../common/service-spec.js';
import type {TargetShare} from '../../common/target-share.js';
import type {TargetSpec} from '../../common/target-spec.js';
import {computeHash} from '../compute-hash.js';
import {DecayingMean} from './decaying-mean.js';
import {PeerCounts} from './peer-counts.js';
import {TargetLoad} from './target-load.js';

type ServiceLoadOptions = {
	readonly instanceId: string;
	readonly failureDomain: string;
	/** Age at which a peer's counts are no longer believed, in ms. */
	readonly peerExpiryMs: number;
};

type TargetWish = {
	readonly isLong: boolean;
	readonly excludedTargets: readonly string[];
	/** Extra time that a slow target may cost before waiting for another one is better, in ms. */
	readonly maxExtraMs: number;
	/** Whether a request may be on its way to a full target, so that a slot does not stay idle for a round trip. */
	readonly mayOverlap: boolean;
};

type TargetChoice = {
	readonly target: TargetSpec;
	readonly load: TargetLoad;
};

type Candidate = TargetChoice & {readonly score: number; readonly shortMs: number};

const usualMemoryMs = 2000;
const defaultUsualMs = 10;
/** Share of the targets above which ejections are ignored. */
const panicShare = 0.5;
const domainCostMs = 1;
const affinityRatio = 0.2;
const utilizationRatio = 0.5;
const slowFactor = 1.5;

/** A fixed number from 0 up to 1, by which instances with equal views prefer different targets. */
const computeAffinity = (instanceId: string, targetId: string): number => computeHash(`${instanceId}/${targetId}`) / (2 ** 32);

/** What this instance knows of all targets of a service, and the choice among them. */
export class ServiceLoad {
	readonly peers: PeerCounts;
	private readonly _targets = new Map<string, {readonly load: TargetLoad; readonly affinity: number}>();
	private readonly _usualMs = new DecayingMean(usualMemoryMs);

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

	/** Takes a changed spec; a target that is new to a known service starts cold. */
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

	/** Learns the usual time of short requests. */
	recordShort(occupiedMs: number, now: number): void {
		this._usualMs.addSample(occupiedMs, now);
	}

	/** Takes what a peer shares of its counts, times and signs of draining. */
	acceptShares(peerId: string, shares: readonly TargetShare[], now: number, isWhole: boolean): void {
		this.peers.acceptCounts(peerId, new Map(shares.map(share => [share.targetId, share])), now, isWhole);
		for (const {targetId, shortMs, isDraining} of shares) {
			const load = this.getTarget(targetId);
			if (shortMs > 0) {
				load?.addPeerShortMs(shortMs, now);
			}

			if (isDraining) {
				load?.markDrainingByPeer(now);
			}
		}
	}

	/** Slots of a target believed free. */
	estimateFreeSlots(target: TargetSpec, now: number): number {
		const load = this.getTarget(target.id);
		if (load === undefined || target.leaving) {
			return 0;
		}

		load.setPeerCount(this.peers.sumTarget(target.id, now));
		return load.estimateFreeSlots(now, this._spec.slotsPerTarget, this._spec.warmUpMs);
	}

	/** Whether any target may take work now or soon. */
	hasUsableTarget(now: number): boolean {
		return this._spec.targets.some(target => !target.leaving && !(this.getTarget(target.id)?.isDraining(now) ?? true));
	}

	/** The best target with a slot believed free; undefined when waiting is better. */
	chooseTarget(wish: TargetWish, now: number): TargetChoice | undefined {
		return this._chooseFree(wish, now) ?? (wish.mayOverlap && !wish.isLong ? this._chooseOverlap(wish, now) : undefined);
	}

	/** Slots of all targets believed free. */
	countFreeSlots(now: number): number {
		let sum = 0;
		for (const target of this._spec.targets) {
			sum += this.estimateFreeSlots(target, now);
		}

		return sum;
	}

	private _chooseFree(wish: TargetWish, now: number): TargetChoice | undefined {
		const mayEject = this._countEjected(now) <= this._spec.targets.length * panicShare;
		const isAllExcluded = this._spec.targets.every(target => wish.excludedTargets.includes(target.id));
		let best: Candidate | undefined;
		for (const target of this._spec.targets) {
			const candidate = !isAllExcluded && wish.excludedTargets.includes(target.id) ? undefined : this._rateTarget(target, wish.isLong, now);
			if (candidate !== undefined && (best === undefined || candidate.score < best.score) && !(mayEject && candidate.load.isEjected(now))) {
				best = candidate;
			}
		}

		const isTooSlow = best !== undefined && !wish.isLong && best.shortMs > this.usualMs * slowFactor && best.shortMs - this.usualMs > wish.maxExtraMs;
		return isTooSlow ? undefined : best;
	}

	/** The quickest full target whose slots will mostly be free soon. */
	private _chooseOverlap(wish: TargetWish, now: number): TargetChoice | undefined {
		const {slotsPerTarget} = this._spec;
		const {usualMs} = this;
		let best: Candidate | undefined;
		for (const target of this._spec.targets) {
			const load = this.getTarget(target.id);
			if (load === undefined || target.leaving || wish.excludedTargets.includes(target.id) || load.isEjected(now)) {
				continue;
			}

			load.setPeerCount(this.peers.sumTarget(target.id, now));
			const shortMs = load.estimateShortMs(usualMs, now);
			if (load.canOverlap(now, slotsPerTarget) && shortMs <= usualMs * slowFactor && (best === undefined || shortMs < best.score)) {
				best = {
					target, load, score: shortMs, shortMs,
				};
			}
		}

		return best;
	}

	private _rateTarget(target: TargetSpec, isLong: boolean, now: number): Candidate | undefined {
		const free = this.estimateFreeSlots(target, now);
		const state = this._targets.get(target.id);
		if (free < 1 || state === undefined || (isLong && !state.load.hasRoomForLong(this._spec.longSlotsPerTarget))) {
			return undefined;
		}

		const {usualMs} = this;
		const shortMs = state.load.estimateShortMs(usualMs, now);
		const utilization = 1 - (free / this._spec.slotsPerTarget);
		const domainMs = target.failureDomain === this._options.failureDomain ? 0 : domainCostMs;
		const score = shortMs + domainMs + (usualMs * ((utilization * utilizationRatio) + (state.affinity * affinityRatio)));
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
		this._targets.set(id, {load: new TargetLoad(warmingSince), affinity: computeAffinity(this._options.instanceId, id)});
	}
}
