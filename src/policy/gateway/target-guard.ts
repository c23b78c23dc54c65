import type {ExclusionReason} from '../../common/gateway/exclusion-reason.js';
import type {TargetRecord} from './target-record.js';

/** Keeps requests away from targets for a reason of its own; a target gets requests only while all guards of its service allow it. */
export type TargetGuard = {
	/** Why it keeps requests away. */
	readonly reason: ExclusionReason;
	/** Computes the time until the target may be chosen for a request, in ms: 0 when it may be now, `Infinity` when no time is known. */
	computeBlockedMs(record: TargetRecord, now: number): number;
	/** Notes that a request was assigned to the target. */
	noteGrant(record: TargetRecord, now: number): void;
	/** Whether a request that was assigned to the target at `grantedAt` may still be written. */
	canSend(record: TargetRecord, grantedAt: number, now: number): boolean;
};
