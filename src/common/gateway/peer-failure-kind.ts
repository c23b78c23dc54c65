/** Reason for which a peer did not give what it was asked for. */
export enum PeerFailureKind {
	/** No connection, no response in time or one that states an error. */
	Unreachable,
	/** The peer's answer is invalid. */
	Refused,
}
