import type {PeerLink} from './peer-link.js';

/** Creates what is known of a peer before it was heard. */
export const createPeerLink = (incarnation: number): PeerLink => ({
	incarnation,
	toldNumber: 0,
	takenNumber: 0,
	mismatches: 0,
	view: {
		configuration: 0, configurationAgeMs: Number.MAX_SAFE_INTEGER, targets: 0, targetsAgeMs: Number.MAX_SAFE_INTEGER,
	},
	heardAt: Number.NEGATIVE_INFINITY,
	toldConfiguration: 0,
	isExchanging: false,
	failures: 0,
});
