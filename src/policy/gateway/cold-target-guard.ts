import {ExclusionReason} from '../../common/gateway/exclusion-reason.js';
import type {ColdTargetOwners} from './cold-target-owners.js';
import type {TargetGuard} from './target-guard.js';
import type {TargetRecord} from './target-record.js';

type ColdTargetGuardOptions = {
	readonly owners: Pick<ColdTargetOwners, 'computeUnsettledMs' | 'findShare'>;
	/** Requests per second that all instances together may send to one cold target of the service; undefined for no limit. */
	readonly getPerSecond: () => number | undefined;
};

type Permit = {readonly grantedAt: number; readonly nextAt: number};

/** Time within which a request has to be written after its permit was taken, in ms. A later one could coincide with the next permit, after a pause of the process. */
const maxSendDelayMs = 250;
/** Time without a request to an owned cold target after which it is owed one, in ms: half the time in which a target that has joined has to get requests. */
const owedAfterMs = 2000;
/** Longest remaining warm-up for which a request may wait at an instance that does not own the target, in ms; with a longer one, another instance can serve it sooner. */
const maxWarmUpWaitMs = 1000;

/** Limits the requests of this instance to the cold targets of one service: a permit per request, none accumulate, and none is returned. */
export class ColdTargetGuard implements TargetGuard {
	readonly reason = ExclusionReason.ColdWithoutPermit;

	constructor(private readonly _options: ColdTargetGuardOptions, private readonly _permits = new Map<string, Permit>()) {}

	/** Creates a copy with other owners whose changes do not reach this one, for a dry run. */
	createCopy(owners: ColdTargetGuardOptions['owners']): ColdTargetGuard {
		return new ColdTargetGuard({...this._options, owners}, new Map(this._permits));
	}

	/** Whether the target is cold and its service limits the requests to cold targets. */
	isLimited(record: TargetRecord, now: number): boolean {
		return this._options.getPerSecond() !== undefined && record.isWarming(now);
	}

	computeBlockedMs(record: TargetRecord, now: number): number {
		if (!this.isLimited(record, now)) {
			return 0;
		}

		const leftMs = record.getWarmUpLeftMs(now);
		const waitMs = this._computePermitMs(record.target.id, now);
		return Number.isFinite(waitMs) || leftMs <= maxWarmUpWaitMs ? Math.min(waitMs, leftMs) : waitMs;
	}

	noteGrant(record: TargetRecord, now: number): void {
		if (!this.isLimited(record, now)) {
			return;
		}

		for (const [targetId, {nextAt}] of this._permits) {
			if (nextAt + owedAfterMs < now) {
				this._permits.delete(targetId);
			}
		}

		this._permits.set(record.target.id, {grantedAt: now, nextAt: now + this.getSpacingMs(record, now)});
	}

	canSend(record: TargetRecord, grantedAt: number, now: number): boolean {
		// A request that was granted while the target was warm has no permit, also when another request took one since.
		return !this.isLimited(record, now) || (this._permits.get(record.target.id)?.grantedAt === grantedAt && now - grantedAt <= maxSendDelayMs);
	}

	/** Gets the time between two permits for a cold target, in ms; `Infinity` when this instance gets none. */
	getSpacingMs({target}: TargetRecord, now: number): number {
		return this._findShare(target.id, now)?.spacingMs ?? Number.POSITIVE_INFINITY;
	}

	/** Whether a cold target should be sent the next request for which it is idle, so that it warms up under load although it is slower than others. */
	isOwed(record: TargetRecord, now: number): boolean {
		return this.isLimited(record, now) && this.computeBlockedMs(record, now) === 0
			&& now - (this._permits.get(record.target.id)?.grantedAt ?? Number.NEGATIVE_INFINITY) >= owedAfterMs;
	}

	private _findShare(targetId: string, now: number) {
		return this._options.owners.findShare(targetId, this._options.getPerSecond() ?? 0, now);
	}

	/** Computes the time until this instance has a permit, in ms. A share has to be held for one spacing first, so that changes of ownership add no requests. */
	private _computePermitMs(targetId: string, now: number): number {
		const share = this._findShare(targetId, now);
		return share === undefined
			? Number.POSITIVE_INFINITY
			: Math.max(0, this._options.owners.computeUnsettledMs(now), share.since + share.spacingMs - now, (this._permits.get(targetId)?.nextAt ?? now) - now);
	}
}
