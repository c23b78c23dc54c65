import type {GatewayMember} from '../../common/gateway/gateway-member.js';
import {computeTextHash} from './compute-text-hash.js';
import type {RingPosition} from './ring-position.js';

type CachedPositions = {readonly failureDomain: string; readonly segmentCount: number; readonly positions: readonly RingPosition[]};

/** Maximum number of cached instances, as a multiple of the fleet's size; above it most entries are of instances that have ended. */
const maxFleetSizes = 4;

/** Caches the ring positions of instances, as hashing takes most of the time of choosing neighbours. */
export class RingPositionCache {
	private readonly _cache = new Map<string, CachedPositions>();

	constructor(private readonly _ringCount: number) {}

	/**
	Gets the positions of an instance, one per ring.
	@param segmentCount - Segments of its failure domain on each ring.
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

	/** Clears the cache once most of its entries are of instances that have ended. */
	evictEnded(fleetSize: number): void {
		if (this._cache.size > maxFleetSizes * fleetSize) {
			this._cache.clear();
		}
	}
}
