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

/** Upper bound of instances that is assumed until a list was read. */
const defaultMaxInstances = 64;

/** Keeps what this instance believes of the entry instances. */
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

	/** Fires with records that changed and that the peers may not know. */
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

	/** Every record, dead members included. */
	listRecords(): readonly MemberRecord[] {
		return this._table.listRecords();
	}

	getRecord(id: string): MemberRecord | undefined {
		return this._table.getRecord(id);
	}

	/** Takes a newer instance list of the platform. */
	acceptInstanceList(list: InstanceList): void {
		this._maxInstances = list.maxInstances;
		this._publish(this._table.applyList(list, this._options.clock.now()), true);
	}

	/** Takes records from a peer. */
	acceptRecords(records: readonly MemberRecord[]): void {
		const now = this._options.clock.now();
		this._publish(records.flatMap(record => this._table.applyRecord(record, now)));
	}

	/** States that a member answered neither directly nor through others. */
	markUnreachable(id: string): void {
		this._publish(this._table.markUnreachable(id, this._options.clock.now()));
	}

	/** Marks this instance as leaving. */
	markLeaving(): void {
		this._publish(this._table.markLeaving());
	}

	/** States whether this instance can read the configuration service. */
	markCanRead(canRead: boolean): void {
		this._publish(this._table.markCanRead(canRead));
	}

	/** States that this instance has spoken with its peers, or has none. */
	markJoined(): void {
		this._table.markJoined();
	}

	/** Lets time pass. */
	advance(): void {
		this._publish(this._table.advance(this._options.clock.now()));
	}

	/** Distrusts what passed while this process was paused. */
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
