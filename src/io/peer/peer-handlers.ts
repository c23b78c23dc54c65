import type {Member} from '../../common/member.js';

/** What the controllers offer to peers; each controller adds its own part. */
export type PeerHandlers = {
	/** Answers who this instance is. */
	readonly describeSelf: () => Member;
	/** Takes the notice of an instance that leaves. */
	readonly acceptLeaving: (instanceId: string, incarnation: number) => void;
};
