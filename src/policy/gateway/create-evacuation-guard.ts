import {ExclusionReason} from '../../common/gateway/exclusion-reason.js';
import type {TargetGuard} from './target-guard.js';

/**
Creates the guard that keeps requests away from the targets of evacuated failure domains. Nothing is known of the time at which a domain returns.
@param isEvacuated - Whether a failure domain is evacuated.
*/
export const createEvacuationGuard = (isEvacuated: (failureDomain: string) => boolean): TargetGuard => ({
	reason: ExclusionReason.Evacuated,
	computeBlockedMs: ({target}) => isEvacuated(target.failureDomain) ? Number.POSITIVE_INFINITY : 0,
	noteGrant() {
		// A request that was assigned does not change what is evacuated.
	},
	canSend: ({target}) => !isEvacuated(target.failureDomain),
});
