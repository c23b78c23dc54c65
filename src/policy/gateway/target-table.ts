import type {GatewayTarget} from '../../common/gateway/gateway-target.js';
import type {TargetChanges} from '../../common/gateway/target-changes.js';
import type {TargetList} from '../../common/gateway/target-list.js';
import {warmUpToleranceMs} from './warm-up-tolerance-ms.js';

type Entry = {readonly target: GatewayTarget; readonly heldSince: number};

/** Maximum number of removals and of complete revisions that are kept; a peer with an older list is sent the complete one. */
const maxHistorySize = 500;

/** Formats the fields that count as a change. The remaining warm-up time is left out, since it shrinks with every read. */
const describeTarget = ({service, host, port, slots, isLeaving, startedAt}: GatewayTarget): string => [service, host, port, slots, isLeaving, startedAt].join(' ');

const computeWarmUpLeftMs = ({target, heldSince}: Entry, now: number): number => Math.max(0, target.warmUpLeftMs - (now - heldSince));

/** Whether a newer record of a target is a change: in one of these fields, or since its warm-up has started again. */
const hasChangedSince = (target: GatewayTarget, current: Entry, now: number): boolean =>
	describeTarget(target) !== describeTarget(current.target) || target.warmUpLeftMs > computeWarmUpLeftMs(current, now) + warmUpToleranceMs;

/** The list of targets, with the registry revision of each record and of the list; a record is never replaced by an older one. */
export class TargetTable {
	private readonly _entries = new Map<string, Entry>();
	/** Removed targets, each with the registry revision at which its absence was noticed; the oldest removal comes first. */
	private readonly _removals = new Map<string, number>();
	/** Revisions at which the list was complete; between two of them, targets may have been added and removed unnoticed. */
	private readonly _completeRevisions = new Set<number>();
	private _completeRevision = 0;
	private _generation = 0;

	/** Registry revision up to which the list is complete; 0 while there is none. */
	get completeRevision(): number {
		return this._completeRevision;
	}

	/** How often the registry's count of revisions was found to have started again. */
	get generation(): number {
		return this._generation;
	}

	get targets(): GatewayTarget[] {
		return [...this._entries.values()].map(({target}) => target);
	}

	/** Applies a list read from the registry; returns whether it changed the current list. */
	applyList({revision, targets}: TargetList, now: number): boolean {
		if (revision < this._completeRevision) {
			return false;
		}

		let hasChanged = false;
		for (const target of targets) {
			const current = this._entries.get(target.id);
			if (current === undefined || (target.revision > current.target.revision && hasChangedSince(target, current, now))) {
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

	/** Replaces the list by one of a higher generation, whose revisions cannot be compared with the held ones; returns whether that changed it. */
	resetTo({revision, targets}: TargetList, generation: number, now: number): boolean {
		const listed = new Set(targets.map(({id}) => id));
		let hasChanged = [...this._entries.keys()].some(id => !listed.has(id));
		const held = new Map(this._entries);
		this._entries.clear();
		for (const target of targets) {
			const current = held.get(target.id);
			hasChanged ||= current === undefined || hasChangedSince(target, current, now);
			this._entries.set(target.id, {target, heldSince: now});
		}

		this._removals.clear();
		this._completeRevisions.clear();
		this._generation = generation;
		this._markComplete(revision);
		return hasChanged;
	}

	/**
	Applies a peer's changes; returns whether they changed the list, or undefined when they start from another revision than the current list's.
	@param peerRevision - Revision up to which the peer's list is complete.
	*/
	applyChanges({since, changed, removed}: TargetChanges, peerRevision: number, now: number): boolean | undefined {
		if (peerRevision <= this._completeRevision) {
			return false;
		}

		if (since !== 0 && since !== this._completeRevision) {
			return undefined;
		}

		return this._merge({since, changed, removed}, peerRevision, now);
	}

	/**
	Applies changes that the registry reported; returns whether they changed the list, or undefined when they start after the current list's
	revision. Changes that the list holds already, since a peer sent them, have no effect.
	@param revision - Registry revision up to which the changes are complete.
	*/
	applyEvents(changes: TargetChanges, revision: number, now: number): boolean | undefined {
		if (changes.since > this._completeRevision) {
			return undefined;
		}

		return revision <= this._completeRevision ? false : this._merge(changes, revision, now);
	}

	/** Collects the changes for a peer whose list is complete up to a revision. */
	collectChanges(revision: number, now: number): TargetChanges {
		const since = this._completeRevisions.has(revision) ? revision : 0;
		const changed = [...this._entries.values()]
			.filter(({target}) => target.revision > since)
			.map(entry => ({...entry.target, warmUpLeftMs: Math.round(computeWarmUpLeftMs(entry, now))}));
		return {since, changed, removed: since === 0 ? [] : [...this._removals].filter(([, removalRevision]) => removalRevision > since)};
	}

	private _merge({since, changed, removed}: TargetChanges, revision: number, now: number): boolean {
		let hasChanged = false;
		for (const target of changed) {
			const current = this._entries.get(target.id);
			// When there is no current record, one older than the current list has been removed since.
			const isNewer = target.revision > (current?.target.revision ?? this._completeRevision);
			if (isNewer && (current === undefined || hasChangedSince(target, current, now))) {
				this._entries.set(target.id, {target, heldSince: now});
				hasChanged = true;
			}
		}

		for (const [id, removalRevision] of since === 0 ? this._listMissing(changed, revision) : removed) {
			if ((this._entries.get(id)?.target.revision ?? Number.POSITIVE_INFINITY) <= removalRevision) {
				this._remove(id, removalRevision);
				hasChanged = true;
			}
		}

		this._markComplete(revision);
		return hasChanged;
	}

	private _listMissing(targets: readonly GatewayTarget[], peerRevision: number): Array<[string, number]> {
		const listed = new Set(targets.map(({id}) => id));
		return [...this._entries.keys()].filter(id => !listed.has(id)).map(id => [id, peerRevision]);
	}

	private _markComplete(revision: number): void {
		this._completeRevision = revision;
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
			const [oldestId, removalRevision] = oldest;
			this._removals.delete(oldestId);
			for (const completeRevision of this._completeRevisions) {
				if (completeRevision < removalRevision) {
					this._completeRevisions.delete(completeRevision);
				}
			}
		}
	}
}
