import type {FilterResult} from './filter-result.js';
import type {NextFilter} from './next-filter.js';
import type {RequestContext} from './request-context.js';

/** One step of the chain that every request passes. */
export type Filter = {
	/** Name for traces and documents. */
	readonly name: string;
	/** Handles the request, calling `next` for the rest of the chain as often as it needs. */
	handleRequest(context: RequestContext, next: NextFilter): FilterResult;
};
