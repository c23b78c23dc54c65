import type {Result} from 'neverthrow';
import type {RequestError} from '../../common/request-error.js';
import type {PlacementRequest} from './placement-request.js';
import type {TargetLease} from './target-lease.js';

/** A request that waits for a slot. */
export type PlacementWaiter = {
	readonly request: PlacementRequest;
	readonly objectiveAt: number;
	readonly deadlineAt: number;
	readonly priority: number;
	readonly arrivedAt: number;
	/** Time of the last look at the targets with probes, in ms. */
	lookedAt: number;
	/** Whether targets were probed for the request without finding an acceptable one. */
	hasProbed: boolean;
	isSettled: boolean;
	settle(result: Result<TargetLease, RequestError>): void;
};
