import type {Member} from '../../common/member.js';
import type {FleetHandlers} from './fleet-handlers.js';
import type {KeyHandlers} from './key-handlers.js';
import type {LoadHandlers} from './load-handlers.js';

/** What the controllers offer to peers; each controller adds its own part. */
export type PeerHandlers = {
	/** Answers who this instance is. */
	readonly describeSelf: () => Member;
	readonly fleet: FleetHandlers;
	readonly load: LoadHandlers;
	readonly keys: KeyHandlers;
};
