import type {GatewayMember} from '../../common/gateway/gateway-member.js';
import {MemberState} from '../../common/gateway/member-state.js';
import type {OwnerShare} from './owner-share.js';
import {rankMember} from './rank-member.js';

type KnownMember = Pick<GatewayMember, 'id' | 'state' | 'cores'>;

type ColdTargetOwnersOptions = {
	readonly selfId: string;
	/** The instances that this one knows. */
	readonly members: {
		/** Grows with each change of a record. */
		readonly changeNumber: number;
		/** Whether this instance has joined the fleet. */
		readonly isJoined: boolean;
		/** Lists the instances that may be running, lost ones included. */
		listNotLeft(): readonly KnownMember[];
	};
	/** Factor on the rate of a cold target that is allowed within one second; undefined when the site has no limit. */
	readonly overshoot: number | undefined;
	/** Further requests that are allowed within one second. */
	readonly slack: number | undefined;
};

type Entry = {readonly perSecond: number; share: OwnerShare | undefined; usedAt: number};

const msPerSecond = 1000;
/** Time after the start, and after the number of known instances has grown much, in which nothing is sent to cold targets, in ms: a predecessor's requests still count, and the view is not complete. */
const settleMs = 1000;
/** Growth of the number of known instances that shows that the view was not complete, as a factor. */
const settleGrowth = 1.5;
/** An owner that counts as lost is replaced only while this instance sees at least one in this many instances, so that at most this many parts of a partitioned fleet replace owners. */
const maxReplacingParts = 3;
/** Factor on the spacing of an instance that replaces a lost owner: with it, at most one of its requests arrives within a second although some are delayed. */
const replacementSpacingFactor = 1.5;
/** Time after which an unused entry is dropped, in ms. */
const retentionMs = 60_000;

/** Whether another instance precedes this one as an owner: those with most processor time do, since they get most callers (limit-entries.ts). */
const hasHigherRank = (targetId: string, other: KnownMember, self: KnownMember, selfRank: number): boolean => {
	if (other.cores !== self.cores) {
		return other.cores > self.cores;
	}

	const rank = rankMember(targetId, other.id);
	return rank === selfRank ? other.id > self.id : rank > selfRank;
};

/** Number of requests that can arrive within one second of an instance that sends at this spacing. */
const countWithinSecond = (spacingMs: number): number => Math.floor(msPerSecond / spacingMs) + 1;

/**
Divides the requests to each cold target among instances, without coordination: the highest-ranked instances by rendezvous hashing own the
target. Shares are computed again only when instances were added, lost or removed.
*/
export class ColdTargetOwners {
	private readonly _entries = new Map<string, Entry>();
	private readonly _startedAt: number;
	private _changeNumber = -1;
	private _memberKey = '';
	private _members: readonly KnownMember[] = [];
	private _runningCount = 0;
	private _changedAt: number;
	private _settledCount = 1;
	private _grownAt: number;

	constructor(private readonly _options: ColdTargetOwnersOptions, now: number) {
		this._startedAt = now;
		this._changedAt = now;
		this._grownAt = now;
	}

	/** Creates a copy whose changes do not reach this one, for a dry run. */
	createCopy(): ColdTargetOwners {
		const copy = new ColdTargetOwners(this._options, this._startedAt);
		copy._changeNumber = this._changeNumber;
		copy._memberKey = this._memberKey;
		copy._members = this._members;
		copy._runningCount = this._runningCount;
		copy._changedAt = this._changedAt;
		copy._settledCount = this._settledCount;
		copy._grownAt = this._grownAt;
		for (const [targetId, entry] of this._entries) {
			copy._entries.set(targetId, {...entry});
		}

		return copy;
	}

	/** Applies changes of the known instances. */
	refresh(now: number): void {
		const {members} = this._options;
		if (members.changeNumber === this._changeNumber) {
			return;
		}

		this._changeNumber = members.changeNumber;
		const notLeft = members.listNotLeft();
		const memberKey = notLeft.map(({id, state}) => `${id} ${state}`).join('\n');
		if (memberKey === this._memberKey) {
			return;
		}

		this._memberKey = memberKey;
		this._members = notLeft;
		this._runningCount = notLeft.filter(({state}) => state === MemberState.Running).length;
		this._changedAt = now;
		if (notLeft.length >= this._settledCount * settleGrowth) {
			this._grownAt = now;
			this._settledCount = notLeft.length;
		}

		this._settledCount = Math.min(this._settledCount, notLeft.length);
		for (const [targetId, entry] of this._entries) {
			if (now - entry.usedAt > retentionMs) {
				this._entries.delete(targetId);
			} else {
				entry.share = this._computeShare(targetId, entry.perSecond, entry.share?.since ?? now);
			}
		}
	}

	/** Computes the time until this instance may send requests to cold targets, in ms; `Infinity` while it has not joined the fleet. */
	computeUnsettledMs(now: number): number {
		this.refresh(now);
		return this._options.members.isJoined ? Math.max(0, Math.max(this._startedAt, this._grownAt) + settleMs - now) : Number.POSITIVE_INFINITY;
	}

	/**
	Finds this instance's share of the requests to a cold target; undefined when other instances own it.
	@param perSecond - Requests per second that all instances together may send to the target.
	*/
	findShare(targetId: string, perSecond: number, now: number): OwnerShare | undefined {
		this.refresh(now);
		let entry = this._entries.get(targetId);
		if (entry?.perSecond !== perSecond) {
			entry = {perSecond, share: this._computeShare(targetId, perSecond, this._changedAt), usedAt: now};
			this._entries.set(targetId, entry);
		}

		entry.usedAt = now;
		return entry.share;
	}

	private _computeShare(targetId: string, perSecond: number, since: number): OwnerShare | undefined {
		const {selfId} = this._options;
		const count = this._members.length;
		const self = this._members.find(({id}) => id === selfId);
		if (self === undefined) {
			return undefined;
		}

		const ownerCount = Math.min(Math.max(1, Math.floor(perSecond)), count);
		const spacingMs = ownerCount / perSecond * msPerSecond;
		const selfRank = rankMember(targetId, selfId);
		let higherCount = 0;
		let higherRunningCount = 0;
		for (const member of this._members) {
			if (member !== self && hasHigherRank(targetId, member, self, selfRank)) {
				higherCount++;
				higherRunningCount += Number(member.state === MemberState.Running);
				if (higherRunningCount === ownerCount) {
					return undefined;
				}
			}
		}

		if (higherCount < ownerCount) {
			return {spacingMs, since};
		}

		const replacementSpacingMs = spacingMs * replacementSpacingFactor;
		const canReplace = this._runningCount * maxReplacingParts >= count && this._isWithinBound(perSecond, ownerCount, spacingMs);
		return canReplace ? {spacingMs: replacementSpacingMs, since} : undefined;
	}

	/** Whether the requests of the owners and of their replacements in other parts of a partitioned fleet stay within the bound of the site. */
	private _isWithinBound(perSecond: number, ownerCount: number, spacingMs: number): boolean {
		const {overshoot, slack} = this._options;
		const replacementCount = ownerCount * (maxReplacingParts - 1);
		const sum = (ownerCount * countWithinSecond(spacingMs)) + (replacementCount * countWithinSecond(spacingMs * replacementSpacingFactor));
		return overshoot === undefined || slack === undefined || sum <= (perSecond * overshoot) + slack;
	}
}
