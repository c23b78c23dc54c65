type TargetCount = {
	readonly inFlight: number;
	readonly longInFlight: number;
};

type PeerState = {
	readonly counts: Map<string, TargetCount>;
	receivedAt: number;
};

/** Requests that the other entries report in flight at the targets of one service; times are in ms. */
export class PeerCounts {
	private readonly _peers = new Map<string, PeerState>();

	/** @param _expiryMs - Age from which a peer's counts are ignored. */
	constructor(private readonly _expiryMs: number) {}

	/** Stores counts of a peer. A snapshot replaces all its earlier counts; otherwise targets that are not named keep theirs. */
	acceptCounts(peerId: string, counts: ReadonlyMap<string, TargetCount>, now: number, isSnapshot: boolean): void {
		let peer = this._peers.get(peerId);
		if (peer === undefined || isSnapshot) {
			peer = {counts: new Map(), receivedAt: now};
			this._peers.set(peerId, peer);
		}

		peer.receivedAt = now;
		for (const [target, count] of counts) {
			peer.counts.set(target, count);
		}
	}

	/** Removes the counts of a peer. */
	removePeer(peerId: string): void {
		this._peers.delete(peerId);
	}

	/** Sums the requests of all peers in flight at a target; the counts of a peer lose weight linearly from half their expiry on. */
	sumTarget(targetId: string, now: number): TargetCount {
		let inFlight = 0;
		let longInFlight = 0;
		for (const peer of this._peers.values()) {
			const count = peer.counts.get(targetId);
			if (count !== undefined) {
				const weight = this._computeWeight(now - peer.receivedAt);
				inFlight += count.inFlight * weight;
				longInFlight += count.longInFlight * weight;
			}
		}

		return {inFlight, longInFlight};
	}

	/** Number of peers whose counts have not expired. */
	countFreshPeers(now: number): number {
		return [...this._peers.values()].filter(peer => now - peer.receivedAt < this._expiryMs).length;
	}

	private _computeWeight(ageMs: number): number {
		const halfMs = this._expiryMs / 2;
		return Math.max(0, Math.min(1, (this._expiryMs - ageMs) / halfMs));
	}
}
