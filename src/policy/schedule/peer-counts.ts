type TargetCount = {
	readonly inFlight: number;
	readonly longInFlight: number;
};

type PeerState = {
	readonly counts: Map<string, TargetCount>;
	heardAt: number;
};

/** What the other entries said they have in flight at the targets of one service; times are in ms. */
export class PeerCounts {
	private readonly _peers = new Map<string, PeerState>();

	/** @param _expiryMs - Age at which a peer's counts are no longer believed. */
	constructor(private readonly _expiryMs: number) {}

	/** Takes counts of a peer; those of targets that are not named stay as they were unless the message is whole. */
	acceptCounts(peerId: string, counts: ReadonlyMap<string, TargetCount>, now: number, isWhole: boolean): void {
		let peer = this._peers.get(peerId);
		if (peer === undefined || isWhole) {
			peer = {counts: new Map(), heardAt: now};
			this._peers.set(peerId, peer);
		}

		peer.heardAt = now;
		for (const [target, count] of counts) {
			peer.counts.set(target, count);
		}
	}

	/** Forgets a peer that is gone. */
	removePeer(peerId: string): void {
		this._peers.delete(peerId);
	}

	/** What all peers have in flight at a target; the counts of a peer lose weight from half their expiry on. */
	sumTarget(targetId: string, now: number): TargetCount {
		let inFlight = 0;
		let longInFlight = 0;
		for (const peer of this._peers.values()) {
			const count = peer.counts.get(targetId);
			if (count !== undefined) {
				const weight = this._weigh(now - peer.heardAt);
				inFlight += count.inFlight * weight;
				longInFlight += count.longInFlight * weight;
			}
		}

		return {inFlight, longInFlight};
	}

	/** Peers that were heard within the expiry. */
	countHeard(now: number): number {
		return [...this._peers.values()].filter(peer => now - peer.heardAt < this._expiryMs).length;
	}

	private _weigh(ageMs: number): number {
		const halfMs = this._expiryMs / 2;
		return Math.max(0, Math.min(1, (this._expiryMs - ageMs) / halfMs));
	}
}
