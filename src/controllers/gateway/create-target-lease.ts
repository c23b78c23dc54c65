import type {Clock} from '../../common/clock.js';
import {AttemptEnd} from '../../common/gateway/attempt-end.js';
import type {TargetReport} from '../../common/gateway/target-report.js';
import type {PooledTarget} from './pooled-target.js';
import type {TargetLease} from './target-lease.js';
import type {TargetRater} from './target-rater.js';

type LeaseOptions = {
	readonly rater: TargetRater;
	readonly clock: Clock;
	readonly canSend: () => boolean;
	/** Called with how the attempt ended. */
	readonly onEnd: (end: AttemptEnd) => void;
	/** Called with what the target said of itself, and the time at which the slot was taken. */
	readonly onReport: (report: TargetReport, startedAt: number) => void;
	/** Called after the slot was freed. */
	readonly onRelease: () => void;
};

/** Takes a slot at a target; releasing the lease frees it and records the result. */
export const createTargetLease = (pooledTarget: PooledTarget, options: LeaseOptions): TargetLease => {
	const {rater, clock, canSend, onEnd, onReport, onRelease} = options;
	const {record, client} = pooledTarget;
	const startedAt = clock.now();
	const report = record.getLoad(startedAt);
	const expectedSlowdown = rater.computeExpectedSlowdown(pooledTarget, startedAt);
	let isReleased = false;
	record.inFlight++;
	record.addRunning();
	return {
		target: record.target,
		report,
		client,
		canSend,
		release(end, targetReport) {
			if (isReleased) {
				return;
			}

			isReleased = true;
			record.inFlight--;
			onEnd(end);
			const now = clock.now();
			if (targetReport?.load !== undefined) {
				// A report in a response still counts the request that the response answers.
				rater.recordReport(record, {...targetReport.load, running: Math.max(0, targetReport.load.running - 1)}, now);
			}

			record.recordEnd(end, now);
			if (targetReport !== undefined) {
				onReport(targetReport, startedAt);
			}

			if (end === AttemptEnd.Answered) {
				record.recordDurationRatio((now - startedAt) / (rater.serviceTimes.usualMs * expectedSlowdown), now);
				rater.serviceTimes.record(now - startedAt, expectedSlowdown);
			}

			onRelease();
		},
	};
};
