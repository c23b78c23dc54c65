import type {ServiceExplanation} from '../../common/gateway/service-explanation.js';
import type {TargetChoice} from './target-choice.js';

/** The targets of a service as the choice for a request that arrives now would find them. */
export type TargetSurvey = Pick<ServiceExplanation, 'targets' | 'candidateCount' | 'exclusions'> & {
	/** Best target by what is known; undefined when none is known to have a free slot. */
	readonly best: TargetChoice | undefined;
	/** Whether one of the targets that would be probed is known to have a free slot. */
	readonly hasKnownCandidate: boolean;
	/** Whether a target would be probed unless the best one is idle. */
	readonly canProbe: boolean;
};
