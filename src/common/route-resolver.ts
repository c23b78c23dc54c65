import type {Member} from './member.js';
import type {RouteResponse} from './route-response.js';

/** Determines which entry instances serve a service. */
export type RouteResolver = {
	/**
	Returns the addresses for a caller, or undefined when there is no such service.
	@param callerDomain - Failure domain of the caller, if known.
	*/
	resolveRoute(service: string, callerDomain: string | undefined): RouteResponse | undefined;
	/** Lists the entry set of a service in order of preference. */
	listEntries(service: string): readonly Member[];
};
