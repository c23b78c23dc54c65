import type {Member} from '../../common/member.js';
import type {FleetHandlers} from './fleet-handlers.js';
import type {KeyHandlers} from './key-handlers.js';
import type {LoadHandlers} from './load-handlers.js';

/** Handlers of all procedures that peers call; each controller provides its own part. */
export type PeerHandlers = {
	/** Describes this instance as a member of the fleet. */
	readonly describeSelf: () => Member;
	readonly fleet: FleetHandlers;
	readonly load: LoadHandlers;
	readonly keys: KeyHandlers;
};
