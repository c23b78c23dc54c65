import type {Member} from '../../common/member.js';
import type {LoadHandlers} from './load-handlers.js';

/** What the controllers offer to peers; each controller adds its own part. */
export type PeerHandlers = {
	/** Answers who this instance is. */
	readonly describeSelf: () => Member;
	readonly load: LoadHandlers;
	/** Takes the notice of an instance that leaves. */
	readonly acceptLeaving: (instanceId: string, incarnation: number) => void;
};
