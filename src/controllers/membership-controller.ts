import type {DisposableLike} from '../common/disposable-like.js';
import {Emitter} from '../common/emitter.js';
import type {InstanceList} from '../common/instance-list.js';
import type {Instance} from '../common/instance.js';
import type {Clock} from '../common/clock.js';
import type {Logger} from '../common/logger.js';
import type {MemberDirectory} from '../common/member-directory.js';
import {MemberState} from '../common/member-state.js';
import type {Member} from '../common/member.js';
import type {MemberRecord} from '../policy/membership/member-record.js';
import {MembershipTable} from '../policy/membership/membership-table.js';

type MembershipOptions = {
	readonly self: Instance;
	/** Start time of this process, in ms since 1970. */
	readonly incarnation: number;
	readonly clock: Clock;
	readonly logger: Logger;
};

const timing = {suspicionMs: 1500, forgetMs: 180_000};

/** Maximum number of instances that is assumed until an instance list has been read. */
const defaultMaxInstances = 64;

/** Holds this instance's view of the members of the fleet and publishes its changes. */
export class MembershipController implements MemberDirectory, DisposableLike {
	private readonly _table: MembershipTable;
	private readonly _onMembersChanged = new Emitter<readonly Member[]>();
	private readonly _onRecordsChanged = new Emitter<readonly MemberRecord[]>();
	private _maxInstances = defaultMaxInstances;
	private _digest: number | undefined;

	constructor(private readonly _options: MembershipOptions) {
		this._table = new MembershipTable(_options.self, _options.incarnation, timing);
	}

	get onMembersChanged() {
		return this._onMembersChanged.event;
	}

	/** Fires with changed records, which are then sent to peers. */
	get onRecordsChanged() {
		return this._onRecordsChanged.event;
	}

	get self(): Member {
		return this._table.self;
	}

	get selfRecord(): MemberRecord {
		return this._table.self;
	}

	get maxInstances(): number {
		return Math.max(this._maxInstances, this.listMembers().length);
	}

	/** Digest of the members that are not dead. */
	get digest(): number {
		this._digest ??= this._table.computeDigest();
		return this._digest;
	}

	listMembers(): readonly Member[] {
		return this._table.listRecords().filter(({state}) => state !== MemberState.Dead);
	}

	/** Lists every record, including those of dead members. */
	listRecords(): readonly MemberRecord[] {
		return this._table.listRecords();
	}

	getRecord(id: string): MemberRecord | undefined {
		return this._table.getRecord(id);
	}

	/** Applies a newer instance list of the platform. */
	acceptInstanceList(list: InstanceList): void {
		this._maxInstances = list.maxInstances;
		this._publish(this._table.applyList(list, this._options.clock.now()), true);
	}

	/** Merges records received from a peer. */
	acceptRecords(records: readonly MemberRecord[]): void {
		const now = this._options.clock.now();
		this._publish(records.flatMap(record => this._table.applyRecord(record, now)));
	}

	/** Records that a member responded neither to direct nor to indirect pings. */
	markUnreachable(id: string): void {
		this._publish(this._table.markUnreachable(id, this._options.clock.now()));
	}

	/** Marks this instance as leaving. */
	markLeaving(): void {
		this._publish(this._table.markLeaving());
	}

	/** Records whether this instance can read the configuration service. */
	markCanRead(canRead: boolean): void {
		this._publish(this._table.markCanRead(canRead));
	}

	/** Records that the attempt to join is over: a peer has responded, or none could be reached. */
	markJoined(): void {
		this._table.markJoined();
	}

	/** Applies the timeouts that have elapsed: suspects become dead, and dead members are removed. */
	advance(): void {
		this._publish(this._table.advance(this._options.clock.now()));
	}

	/** Restarts the suspicion timeouts after a pause of the process, in which refutations may not have been read. */
	resume(): void {
		this._table.resume(this._options.clock.now());
	}

	dispose(): void {
		this._onMembersChanged.dispose();
		this._onRecordsChanged.dispose();
	}

	private _publish(changes: readonly MemberRecord[], hasListChanged = false): void {
		this._digest = undefined;
		for (const {instance, state, incarnation} of changes) {
			this._options.logger.logDebug('member-changed', {member: instance.id, state, incarnation});
		}

		if (changes.length > 0) {
			this._onRecordsChanged.fire(changes.filter(({incarnation}) => incarnation > 0));
		}

		if (changes.length > 0 || hasListChanged) {
			this._onMembersChanged.fire(this.listMembers());
		}
	}
}
