import type {GatewayMember} from '../../common/gateway/gateway-member.js';
import {computeTextHash} from './compute-text-hash.js';
import type {RingPosition} from './ring-position.js';

type CachedPositions = {readonly failureDomain: string; readonly segmentCount: number; readonly positions: readonly RingPosition[]};

/** Instances whose positions are kept, in a fleet's sizes; the rest are ones that have ended. */
const maxFleetSizes = 4;

/** Positions of instances on rings, kept since hashing them takes most of the time in which neighbours are chosen. */
export class RingPositionCache {
	private readonly _cache = new Map<string, CachedPositions>();

	constructor(private readonly _ringCount: number) {}

	/**
	The positions of an instance, one a ring.
	@param segmentCount - Pieces in which its failure domain stands on each ring.
	*/
	getPositions({id, failureDomain}: Pick<GatewayMember, 'id' | 'failureDomain'>, segmentCount: number): readonly RingPosition[] {
		const cached = this._cache.get(id);
		if (cached?.failureDomain === failureDomain && cached.segmentCount === segmentCount) {
			return cached.positions;
		}

		const positions = Array.from({length: this._ringCount}, (_item, ring) => {
			const rank = computeTextHash(`${ring} ${id}`);
			return {id, rank, segmentRank: computeTextHash(`${ring} ${rank % segmentCount} ${failureDomain}`)};
		});
		this._cache.set(id, {failureDomain, segmentCount, positions});
		return positions;
	}

	/** Drops what is kept once most of it is of instances that have ended. */
	evictEnded(fleetSize: number): void {
		if (this._cache.size > maxFleetSizes * fleetSize) {
			this._cache.clear();
		}
	}
}
