import type {LoadFeedMessage} from '../../common/load-feed-message.js';

/** Handlers of the load procedures that peers call. */
export type LoadHandlers = {
	/** Streams this instance's counts at the targets of the named services: a snapshot first, then the changes. */
	readonly watchLoad: (services: readonly string[], signal: AbortSignal | undefined) => AsyncIterable<LoadFeedMessage>;
};
