import type {Member} from './member.js';
import type {RouteAnswer} from './route-answer.js';

/** Determines which entry instances serve a service. */
export type RouteSource = {
	/**
	Returns the addresses for a caller, or undefined when there is no such service.
	@param callerDomain - Failure domain of the caller, if known.
	*/
	answerRoute(service: string, callerDomain: string | undefined): RouteAnswer | undefined;
	/** Lists the entry set of a service in order of preference. */
	listEntries(service: string): readonly Member[];
};
