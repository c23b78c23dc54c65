import type {FilterResult} from './filter-result.js';
import type {RequestContext} from './request-context.js';

/** Runs the rest of the filter chain; a filter that runs attempts in parallel passes each a context of its own. */
export type NextFilter = (context: RequestContext) => FilterResult;
