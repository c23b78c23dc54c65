/** What the server of a peer call knows of the caller. */
export type PeerContext = {
	/** Name of the calling instance as it states it. */
	readonly peerId: string;
};
