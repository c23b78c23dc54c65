import type {PeerLink} from './peer-link.js';

/** Creates the state of a peer from which no message has come yet. */
export const createPeerLink = (incarnation: number): PeerLink => ({
	incarnation,
	acknowledgedNumber: 0,
	takenNumber: 0,
	digestMismatches: 0,
	view: {
		configuration: 0, configurationAgeMs: Number.MAX_SAFE_INTEGER, targets: 0, targetsAgeMs: Number.MAX_SAFE_INTEGER,
	},
	lastMessageAt: Number.NEGATIVE_INFINITY,
	announcedConfiguration: 0,
	announcedNewest: 0,
	isExchanging: false,
	failures: 0,
});
