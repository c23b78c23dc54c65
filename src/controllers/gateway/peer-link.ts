import type {ViewVersion} from '../../common/gateway/view-version.js';

/** State of the message exchanges with one peer. */
export type PeerLink = {
	/** Incarnation of the peer to which the other fields belong. */
	readonly incarnation: number;
	/** Number of this instance's last change of a member's record that the peer has acknowledged. */
	acknowledgedNumber: number;
	/** Number of the peer's last change that this instance has applied. */
	takenNumber: number;
	/** Consecutive messages of the peer without records although the digests differ. */
	digestMismatches: number;
	/** The view version in the peer's last message. */
	view: ViewVersion;
	/** Time of the peer's last message, in ms; negative infinity before the first one. */
	lastMessageAt: number;
	/** Newest version of the configuration that the peer was told this instance holds; 0 for none. */
	announcedConfiguration: number;
	/** Newest version of the configuration that the peer was told exists; 0 for none. */
	announcedNewest: number;
	isExchanging: boolean;
	/** Consecutive failed exchanges. */
	failures: number;
};
