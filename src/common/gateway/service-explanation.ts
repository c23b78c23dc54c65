import type {ExclusionReason} from './exclusion-reason.js';
import type {ExplainedRefusal} from './explained-refusal.js';
import type {PlacementStep} from './placement-step.js';
import type {TargetExplanation} from './target-explanation.js';

/** What an instance would do with a request for one service of its route, and why. */
export type ServiceExplanation = {
	readonly service: string;
	/** Fraction of the requests of the route that go to this service, 0 to 1. */
	readonly share: number;
	readonly step: PlacementStep;
	/** Id of the target that the request would be sent to at once; undefined when none is chosen yet. */
	readonly target?: string | undefined;
	/** Undefined when the request would not be refused now. */
	readonly refusal?: ExplainedRefusal | undefined;
	/** Scarcity level of the service, 0 without a shortage. */
	readonly scarcityLevel: number;
	/** Whether the request would compete for a slot now; at a level above 0 it may leave slots to more urgent ones. */
	readonly isCompeting: boolean;
	/** Requests that wait for a slot. */
	readonly waitingCount: number;
	/** Expected wait behind requests that go first and for a permit, in ms; undefined when no time is known. */
	readonly expectedWaitMs?: number | undefined;
	/** Expected duration at an idle target, in ms. */
	readonly usualMs: number;
	/** Whether targets would be probed first, so that another one may be chosen than by what is known. */
	readonly canProbeChange: boolean;
	/** Targets of the service, those that are leaving included. */
	readonly targetCount: number;
	/** Targets that the request may be sent to; `targets` has the first of them. */
	readonly candidateCount: number;
	/** In the order of preference: those whose load is known, then those that would be probed. */
	readonly targets: readonly TargetExplanation[];
	/** Numbers of the other targets, by reason. */
	readonly exclusions: Readonly<Partial<Record<ExclusionReason, number>>>;
};
