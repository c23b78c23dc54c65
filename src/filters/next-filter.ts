import type {FilterResult} from './filter-result.js';
import type {RequestContext} from './request-context.js';

/** Runs the rest of the chain; a filter that tries several targets gives each try a context of its own. */
export type NextFilter = (context: RequestContext) => FilterResult;
