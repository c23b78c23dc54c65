import type {ExplainedRefusal} from './explained-refusal.js';
import type {PlacementQuestion} from './placement-question.js';
import type {ServiceExplanation} from './service-explanation.js';

/** Where an instance would send a request that arrives now, and why. */
export type PlacementExplanation = {
	readonly instance: {readonly id: string; readonly failureDomain: string};
	readonly request: PlacementQuestion;
	readonly configuration: {readonly version: number; readonly ageMs: number};
	/** Time since the list of targets was last confirmed, in ms. */
	readonly targetsAgeMs: number;
	readonly route: {
		readonly name: string;
		readonly host: string;
		readonly pathPrefix: string;
		readonly objectiveMs: number;
		readonly timeoutMs: number;
		readonly priority: number;
	};
	/** Why the instance would refuse the request before it looks for a target; undefined when it would not. */
	readonly refusal?: ExplainedRefusal | undefined;
	/** The services of the route; more than one when its traffic is split. */
	readonly services: readonly ServiceExplanation[];
};
