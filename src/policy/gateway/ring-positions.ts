import type {GatewayMember} from '../../common/gateway/gateway-member.js';
import {computeTextHash} from './compute-text-hash.js';
import type {RingPosition} from './ring-position.js';

type Held = {readonly failureDomain: string; readonly pieceCount: number; readonly positions: readonly RingPosition[]};

/** Instances whose positions are kept, in a fleet's sizes; the rest are ones that have ended. */
const keptFleets = 4;

/** Positions of instances on rings, kept since hashing them takes most of the time in which neighbours are chosen. */
export class RingPositions {
	private readonly _held = new Map<string, Held>();

	constructor(private readonly _ringCount: number) {}

	/**
	The positions of an instance, one a ring.
	@param pieceCount - Pieces in which its failure domain stands on each ring.
	*/
	getPositions({id, failureDomain}: Pick<GatewayMember, 'id' | 'failureDomain'>, pieceCount: number): readonly RingPosition[] {
		const held = this._held.get(id);
		if (held?.failureDomain === failureDomain && held.pieceCount === pieceCount) {
			return held.positions;
		}

		const positions = Array.from({length: this._ringCount}, (_item, ring) => {
			const rank = computeTextHash(`${ring} ${id}`);
			return {id, rank, pieceRank: computeTextHash(`${ring} ${rank % pieceCount} ${failureDomain}`)};
		});
		this._held.set(id, {failureDomain, pieceCount, positions});
		return positions;
	}

	/** Drops what is kept once most of it is of instances that have ended. */
	dropEnded(fleetSize: number): void {
		if (this._held.size > keptFleets * fleetSize) {
			this._held.clear();
		}
	}
}
