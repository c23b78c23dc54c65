import type {ViewVersion} from '../../common/gateway/view-version.js';

/** What one instance knows of its exchanges with another. */
export type PeerLink = {
	/** Incarnation of the peer to which all of this belongs. */
	readonly incarnation: number;
	/** Number of this instance's last change of a member's record that the peer has taken. */
	acknowledgedNumber: number;
	/** Number of the peer's last change that this instance has taken. */
	takenNumber: number;
	/** Exchanges in a row after which both had nothing to tell and still held different records. */
	digestMismatches: number;
	/** What the peer last said of its view, and when. */
	view: ViewVersion;
	lastMessageAt: number;
	/** Newest configuration that the peer was told of. */
	announcedConfiguration: number;
	isExchanging: boolean;
	failures: number;
};
