import type {Clock} from '../../common/clock.js';
import type {ExplainedRefusal} from '../../common/gateway/explained-refusal.js';
import {ExclusionReason} from '../../common/gateway/exclusion-reason.js';
import {PlacementStep} from '../../common/gateway/placement-step.js';
import type {ServiceExplanation} from '../../common/gateway/service-explanation.js';
import {disabledMetrics} from '../../io/disabled-metrics.js';
import {canTakeSlot} from '../../policy/gateway/can-take-slot.js';
import type {ColdTargetOwners} from '../../policy/gateway/cold-target-owners.js';
import {describeRefusal} from '../../policy/gateway/describe-refusal.js';
import {PlacementRefusals} from './placement-refusals.js';
import type {PlacementRequest} from './placement-request.js';
import type {ServiceAdmission} from './service-admission.js';
import type {ServicePlacer} from './service-placer.js';
import type {TargetPool} from './target-pool.js';
import type {TargetSurvey} from './target-survey.js';

type ServiceQuestion = {
	readonly request: Omit<PlacementRequest, 'signal'>;
	/** Fraction of the requests of the route that go to the service. */
	readonly share: number;
	readonly placer: Pick<ServicePlacer, 'waitingCount' | 'predictQueue'>;
	readonly pool: Pick<TargetPool, 'createPreview'>;
	readonly admission: Pick<ServiceAdmission, 'createCopy'>;
	/** Divides the requests to cold targets among instances; undefined for no limit. */
	readonly coldTargetOwners: Pick<ColdTargetOwners, 'createCopy'> | undefined;
	/** Targets of the service that are leaving. */
	readonly leavingCount: number;
	readonly clock: Clock;
};

type Situation = {
	readonly usualMs: number;
	readonly refusal: ExplainedRefusal | undefined;
	readonly isCompeting: boolean;
	readonly survey: TargetSurvey;
};

/** Decides as the placer does with a request for which no target has been probed yet. */
const planStep = ({request: {objectiveAt, deadlineAt}, clock}: ServiceQuestion, {usualMs, refusal, isCompeting, survey}: Situation): PlacementStep => {
	const {best, canProbe, hasKnownCandidate} = survey;
	if (refusal !== undefined) {
		return PlacementStep.Refuse;
	}

	if (!isCompeting) {
		return PlacementStep.Wait;
	}

	if (best?.isIdle) {
		return PlacementStep.Send;
	}

	if (canProbe) {
		return PlacementStep.Probe;
	}

	const isAcceptable = best !== undefined && hasKnownCandidate && canTakeSlot({
		estimateMs: best.estimateMs, usualMs, objectiveAt, deadlineAt,
	}, clock.now());
	return isAcceptable ? PlacementStep.Send : PlacementStep.Wait;
};

/** Explains what one service would do with a request that arrives now. Decides on copies, so that nothing changes. */
export const explainService = (question: ServiceQuestion): ServiceExplanation => {
	const {request, share, placer, pool, coldTargetOwners, leavingCount, clock} = question;
	const now = clock.now();
	const targets = pool.createPreview(coldTargetOwners?.createCopy());
	// The copy takes the changes that the request would make.
	const admission = question.admission.createCopy();
	const {usualMs} = targets.serviceTimes;
	admission.noteArrival(request.priority);
	const refusals = new PlacementRefusals({
		pool: targets, admission, clock, metrics: disabledMetrics,
	});
	const queue = placer.predictQueue(request.priority);
	const error = refusals.findRefusal(request, queue);
	const refusal = error && describeRefusal(error);
	const waitMs = refusals.computeWaitMs(request, queue);
	const isCompeting = admission.canContend({...request, arrivedAt: now, lookedAt: Number.NEGATIVE_INFINITY}, usualMs, now);
	const survey = targets.describeTargets(request);
	const step = planStep(question, {
		usualMs, refusal, isCompeting, survey,
	});
	return {
		service: request.service,
		share,
		step,
		target: step === PlacementStep.Send ? survey.best?.pooledTarget.record.target.id : undefined,
		refusal,
		scarcityLevel: admission.updateLevel(now),
		isCompeting,
		waitingCount: placer.waitingCount,
		expectedWaitMs: Number.isFinite(waitMs) ? waitMs : undefined,
		usualMs,
		canProbeChange: step === PlacementStep.Probe,
		targetCount: targets.size + leavingCount,
		candidateCount: survey.candidateCount,
		targets: survey.targets,
		exclusions: leavingCount > 0 ? {...survey.exclusions, [ExclusionReason.Leaving]: leavingCount} : survey.exclusions,
	};
};
