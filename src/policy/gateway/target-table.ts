import type {GatewayTarget} from '../../common/gateway/gateway-target.js';
import type {TargetChanges} from '../../common/gateway/target-changes.js';
import type {TargetList} from '../../common/gateway/target-list.js';

type Entry = {readonly target: GatewayTarget; readonly heldSince: number};

/** Removals, and revisions up to which the list was complete, that are remembered; who holds an older list is sent the whole one. */
const maxHistorySize = 500;

/** Identifies what a target's record says; the time left of its warm-up shrinks with every read. */
const describeTarget = ({service, host, port, slots, isLeaving, startedAt}: GatewayTarget): string => [service, host, port, slots, isLeaving, startedAt].join(' ');

/** The list of targets with the revision of the registry at which each was last seen to change; never goes back to an older record. */
export class TargetTable {
	private readonly _entries = new Map<string, Entry>();
	private readonly _removals = new Map<string, number>();
	/** Revisions up to which the list was complete at a time: between two of them targets may have come and gone unseen. */
	private readonly _completeRevisions = new Set<number>();
	private _completeTo = 0;

	/** Revision of the registry up to which the list is complete; 0 while there is none. */
	get completeTo(): number {
		return this._completeTo;
	}

	get targets(): GatewayTarget[] {
		return [...this._entries.values()].map(({target}) => target);
	}

	/** Takes a list that was read at the registry and says whether it differs from the one held. */
	takeList({revision, targets}: TargetList, now: number): boolean {
		if (revision < this._completeTo) {
			return false;
		}

		let hasChanged = false;
		for (const target of targets) {
			const current = this._entries.get(target.id)?.target;
			if (current === undefined || (target.revision > current.revision && describeTarget(target) !== describeTarget(current))) {
				this._entries.set(target.id, {target, heldSince: now});
				hasChanged = true;
			}
		}

		const listed = new Set(targets.map(({id}) => id));
		for (const {id, revision: heldRevision} of this.targets) {
			if (!listed.has(id) && heldRevision <= revision) {
				this._remove(id, revision);
				hasChanged = true;
			}
		}

		this._markComplete(revision);
		return hasChanged;
	}

	/**
	Takes a peer's changes and says whether they changed the list; undefined when they belong to another list than the one held.
	@param peerRevision - Revision up to which the peer's list is complete.
	*/
	takeChanges({since, changed, removed}: TargetChanges, peerRevision: number, now: number): boolean | undefined {
		if (peerRevision <= this._completeTo) {
			return false;
		}

		if (since !== 0 && since !== this._completeTo) {
			return undefined;
		}

		let hasChanged = false;
		for (const target of changed) {
			const current = this._entries.get(target.id)?.target;
			// Without a record here, one from before this list was complete has been removed since.
			if (target.revision > (current?.revision ?? this._completeTo)) {
				this._entries.set(target.id, {target, heldSince: now});
				hasChanged = true;
			}
		}

		for (const [id, revision] of since === 0 ? this._listMissing(changed, peerRevision) : removed) {
			if ((this._entries.get(id)?.target.revision ?? Number.POSITIVE_INFINITY) <= revision) {
				this._remove(id, revision);
				hasChanged = true;
			}
		}

		this._markComplete(peerRevision);
		return hasChanged;
	}

	/** Collects what a peer lacks whose list is complete up to a revision. */
	collectChanges(revision: number, now: number): TargetChanges {
		const since = this._completeRevisions.has(revision) ? revision : 0;
		const changed = [...this._entries.values()]
			.filter(({target}) => target.revision > since)
			.map(({target, heldSince}) => ({...target, warmUpLeftMs: Math.max(0, Math.round(target.warmUpLeftMs - (now - heldSince)))}));
		return {since, changed, removed: since === 0 ? [] : [...this._removals].filter(([, removedAt]) => removedAt > since)};
	}

	private _listMissing(targets: readonly GatewayTarget[], peerRevision: number): Array<[string, number]> {
		const listed = new Set(targets.map(({id}) => id));
		return [...this._entries.keys()].filter(id => !listed.has(id)).map(id => [id, peerRevision]);
	}

	private _markComplete(revision: number): void {
		this._completeTo = revision;
		this._completeRevisions.delete(revision);
		this._completeRevisions.add(revision);
		const [oldest] = this._completeRevisions;
		if (oldest !== undefined && this._completeRevisions.size > maxHistorySize) {
			this._completeRevisions.delete(oldest);
		}
	}

	private _remove(id: string, revision: number): void {
		this._entries.delete(id);
		this._removals.delete(id);
		this._removals.set(id, revision);
		const [oldest] = this._removals;
		if (oldest !== undefined && this._removals.size > maxHistorySize) {
			const [oldestId, removedAt] = oldest;
			this._removals.delete(oldestId);
			for (const completeRevision of this._completeRevisions) {
				if (completeRevision < removedAt) {
					this._completeRevisions.delete(completeRevision);
				}
			}
		}
	}
}
