import type {ShareMessage} from '../../common/share-message.js';

/** What the load controller offers to peers. */
export type LoadHandlers = {
	/** Sends this instance's counts at the targets of the named services, and then their changes. */
	readonly watchLoad: (services: readonly string[], signal: AbortSignal | undefined) => AsyncIterable<ShareMessage>;
};
