/** Context of a procedure call by a peer. */
export type PeerContext = {
	/** Id of the calling instance, as the peer states it. */
	readonly peerId: string;
};
