import type {Member} from './member.js';
import type {RouteAnswer} from './route-answer.js';

/** Decides which entry instances serve which service. */
export type RouteSource = {
	/** Answers a caller; undefined when there is no such service. */
	answerRoute(service: string, callerDomain: string | undefined): RouteAnswer | undefined;
	/** The entry set of a service, in order of preference. */
	listEntries(service: string): readonly Member[];
};
