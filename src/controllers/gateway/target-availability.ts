import {ExclusionReason} from '../../common/gateway/exclusion-reason.js';
import type {TargetGuard} from '../../policy/gateway/target-guard.js';
import {TargetPauses} from '../../policy/gateway/target-pauses.js';
import type {TargetRecord} from '../../policy/gateway/target-record.js';
import type {PooledTarget} from './pooled-target.js';

type TargetBlock = {readonly reason: ExclusionReason; readonly blockedMs: number};

/** Decides whether the targets of one service may get requests: not while they pause or a guard keeps requests away. */
export class TargetAvailability {
	constructor(private readonly _guards: readonly TargetGuard[], private readonly _pauses = new TargetPauses()) {}

	/** Number of targets that accept no requests from this instance for now. */
	get pausedCount(): number {
		return this._pauses.size;
	}

	/** Computes the time until a target may be chosen, in ms: 0 when it may be now, `Infinity` when no time is known. */
	computeBlockedMs({key, record}: PooledTarget, now: number): number {
		let blockedMs = this._pauses.getRemainingMs(key, now);
		for (const guard of this._guards) {
			blockedMs = Math.max(blockedMs, guard.computeBlockedMs(record, now));
		}

		return blockedMs;
	}

	/** Finds what keeps requests away from a target for the longest time; undefined when nothing does. */
	findBlock({key, record}: PooledTarget, now: number): TargetBlock | undefined {
		let block: TargetBlock = {reason: ExclusionReason.Paused, blockedMs: this._pauses.getRemainingMs(key, now)};
		for (const guard of this._guards) {
			const blockedMs = guard.computeBlockedMs(record, now);
			if (blockedMs > block.blockedMs) {
				block = {reason: guard.reason, blockedMs};
			}
		}

		return block.blockedMs > 0 ? block : undefined;
	}

	/** Creates one with other guards that has the same pauses, for a dry run. */
	createWithGuards(guards: readonly TargetGuard[]): TargetAvailability {
		return new TargetAvailability(guards, this._pauses);
	}

	/** Whether a request that was assigned to a target at `grantedAt` may still be written. */
	canSend({isRemoved, key, record}: PooledTarget, grantedAt: number, now: number): boolean {
		return !isRemoved && this._pauses.getRemainingMs(key, now) === 0 && this._guards.every(guard => guard.canSend(record, grantedAt, now));
	}

	/** Notes that a request was assigned to a target. */
	noteGrant(record: TargetRecord, now: number): void {
		for (const guard of this._guards) {
			guard.noteGrant(record, now);
		}
	}

	/** Keeps requests away from a target for a time. */
	addPause({key}: PooledTarget, durationMs: number, now: number): void {
		this._pauses.add(key, durationMs, now);
	}

	evictEnded(now: number): void {
		this._pauses.evictEnded(now);
	}
}
