import type {InstanceList} from '../../common/instance-list.js';
import type {Instance} from '../../common/instance.js';
import {MemberState} from '../../common/member-state.js';
import {computeHash} from '../compute-hash.js';
import {compareRecords} from './compare-records.js';
import type {MemberRecord} from './member-record.js';
import type {MembershipTiming} from './membership-timing.js';

const digestModulus = 2 ** 32;

type TableRow = {
	record: MemberRecord;
	changedAt: number;
	isListed: boolean;
	/** Incarnation that the instance list marked as leaving; a later incarnation of the same id is not leaving. */
	leavingIncarnation: number | undefined;
};

/**
Merges the instance list with the gossip records of the instances by the rules of SWIM: a newer incarnation or sequence
wins, an instance is suspected before it is declared dead, and only the instance itself can refute. Every method that
changes records returns the changed ones, which are to be sent to the peers.
*/
export class MembershipTable {
	private readonly _rows = new Map<string, TableRow>();
	private _self: MemberRecord;
	private _isSuperseded = false;
	private _hasJoined = false;

	constructor(instance: Instance, incarnation: number, private readonly _timing: MembershipTiming) {
		this._self = {
			instance, incarnation, sequence: 1, state: MemberState.Alive, canRead: true,
		};
	}

	get self(): MemberRecord {
		return this._self;
	}

	/** Whether another process uses the id of this instance. */
	get isSuperseded(): boolean {
		return this._isSuperseded;
	}

	/** Lists all known records, including dead ones; the record of this instance comes first. */
	listRecords(): MemberRecord[] {
		return [this._self, ...[...this._rows.values()].map(row => row.record)];
	}

	getRecord(id: string): MemberRecord | undefined {
		return id === this._self.instance.id ? this._self : this._rows.get(id)?.record;
	}

	/** Computes a digest of all records that are not dead; equal views have equal digests. */
	computeDigest(): number {
		let digest = 0;
		for (const {instance, incarnation, sequence, state} of this.listRecords()) {
			if (incarnation > 0 && state !== MemberState.Dead) {
				digest = (digest + computeHash(`${instance.id}/${incarnation}/${sequence}/${state}`)) % digestModulus;
			}
		}

		return digest;
	}

	/** Applies the platform's instance list. Since the list lags, it adds instances and marks them as leaving, but never declares one dead. */
	applyList(list: InstanceList, now: number): MemberRecord[] {
		const listed = new Map(list.instances.map(instance => [instance.id, instance]));
		listed.delete(this._self.instance.id);
		const changes: MemberRecord[] = [];
		for (const [id, row] of this._rows) {
			row.isListed = listed.has(id);
			if (!row.isListed && row.record.incarnation === 0) {
				this._rows.delete(id);
			}
		}

		for (const instance of listed.values()) {
			changes.push(...this._applyListed(instance, now));
		}

		return changes;
	}

	/** Applies the record of an instance that was received from a peer. */
	applyRecord(record: MemberRecord, now: number): MemberRecord[] {
		if (record.instance.id === this._self.instance.id) {
			return this._applySelf(record);
		}

		const row = this._rows.get(record.instance.id);
		if (row === undefined) {
			return record.state === MemberState.Dead || record.incarnation === 0 ? [] : [this._addRow(record, now, false)];
		}

		if (compareRecords(record, row.record) <= 0) {
			return [];
		}

		const isLive = row.record.state === MemberState.Alive || row.record.state === MemberState.Suspect;
		// A record from a peer never declares a live instance dead: the instance is suspected first and can refute. Otherwise,
		// after a network partition heals, both sides would remove each other's members.
		if (record.state === MemberState.Dead && isLive) {
			const suspect = {...record, state: MemberState.Suspect};
			return compareRecords(suspect, row.record) > 0 ? [this._changeRow(row, suspect, now)] : [];
		}

		return [this._changeRow(row, record, now)];
	}

	/** Records that an instance responded neither to direct nor to indirect pings. */
	markUnreachable(id: string, now: number): MemberRecord[] {
		const row = this._rows.get(id);
		if (row === undefined) {
			return [];
		}

		switch (row.record.state) {
			case MemberState.Alive: {
				return [this._changeRow(row, {...row.record, state: MemberState.Suspect}, now)];
			}

			case MemberState.Leaving: {
				return [this._changeRow(row, {...row.record, state: MemberState.Dead}, now)];
			}

			case MemberState.Suspect:
			case MemberState.Dead: {
				return [];
			}
		}
	}

	/** Applies the timeouts: declares suspected instances dead and removes dead ones. */
	advance(now: number): MemberRecord[] {
		const changes: MemberRecord[] = [];
		for (const [id, row] of this._rows) {
			const ageMs = now - row.changedAt;
			if (row.record.state === MemberState.Suspect && ageMs >= this._timing.suspicionMs) {
				changes.push(this._changeRow(row, {...row.record, state: MemberState.Dead}, now));
			} else if (row.record.state === MemberState.Dead && !row.isListed && ageMs >= this._timing.forgetMs) {
				this._rows.delete(id);
			}
		}

		return changes;
	}

	/** Restarts the suspicion timeout of every suspected instance after this process itself was paused. */
	resume(now: number): void {
		for (const row of this._rows.values()) {
			if (row.record.state === MemberState.Suspect) {
				row.changedAt = now;
			}
		}
	}

	/** Marks this instance as leaving; this is irreversible. */
	markLeaving(): MemberRecord[] {
		return this._self.state === MemberState.Leaving ? [] : [this._updateSelf({state: MemberState.Leaving})];
	}

	/** Records whether this instance can read the configuration service. */
	markCanRead(canRead: boolean): MemberRecord[] {
		return this._self.canRead === canRead ? [] : [this._updateSelf({canRead})];
	}

	/** Marks the join as completed: from now on a record of this instance with a higher incarnation is from another process, not from an earlier one. */
	markJoined(): void {
		this._hasJoined = true;
	}

	private _applyListed(instance: Instance, now: number): MemberRecord[] {
		const row = this._rows.get(instance.id);
		if (row === undefined) {
			const record = {
				instance, incarnation: 0, sequence: 0, state: instance.leaving ? MemberState.Leaving : MemberState.Alive, canRead: true,
			};
			return [this._addRow(record, now, true)];
		}

		row.isListed = true;
		if (!instance.leaving) {
			row.leavingIncarnation = undefined;
			return row.record.incarnation === 0 && row.record.state === MemberState.Alive ? this._updateListed(row, instance) : [];
		}

		row.leavingIncarnation ??= row.record.incarnation;
		const isLive = row.record.state === MemberState.Alive || row.record.state === MemberState.Suspect;
		return isLive && row.leavingIncarnation === row.record.incarnation
			? [this._changeRow(row, {...row.record, state: MemberState.Leaving}, now)]
			: [];
	}

	private _updateListed(row: TableRow, instance: Instance): MemberRecord[] {
		if (row.record.instance.peerPort === instance.peerPort && row.record.instance.host === instance.host && row.record.instance.dataPort === instance.dataPort) {
			return [];
		}

		row.record = {...row.record, instance};
		return [row.record];
	}

	private _applySelf(record: MemberRecord): MemberRecord[] {
		if (record.incarnation > this._self.incarnation && this._hasJoined) {
			this._isSuperseded = true;
			return this.markLeaving();
		}

		if (compareRecords(record, this._self) <= 0) {
			return [];
		}

		// Before this process has joined, a higher incarnation can only be from an earlier process whose clock was ahead.
		const incarnation = record.incarnation > this._self.incarnation ? record.incarnation + 1 : this._self.incarnation;
		this._self = {...this._self, incarnation, sequence: Math.max(this._self.sequence, record.sequence)};
		return [this._updateSelf({})];
	}

	private _updateSelf(change: Partial<MemberRecord>): MemberRecord {
		this._self = {...this._self, ...change, sequence: this._self.sequence + 1};
		return this._self;
	}

	private _addRow(record: MemberRecord, now: number, isListed: boolean): MemberRecord {
		this._rows.set(record.instance.id, {
			record, changedAt: now, isListed, leavingIncarnation: isListed && record.state === MemberState.Leaving ? record.incarnation : undefined,
		});
		return record;
	}

	private _changeRow(row: TableRow, record: MemberRecord, now: number): MemberRecord {
		row.record = record;
		row.changedAt = now;
		return record;
	}
}
