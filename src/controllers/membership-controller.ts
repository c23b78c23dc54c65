import type {DisposableLike} from '../common/disposable-like.js';
import {Emitter} from '../common/emitter.js';
import type {InstanceList} from '../common/instance-list.js';
import type {Instance} from '../common/instance.js';
import type {MemberDirectory} from '../common/member-directory.js';
import {MemberState} from '../common/member-state.js';
import type {Member} from '../common/member.js';

/** Time for which a notice of leaving holds against a list that lags, in ms. */
const leavingMemoryMs = 30_000;

/** Upper bound of instances that is assumed until a list was read. */
const unlistedMaxInstances = 64;

/** Keeps what this instance believes of the entry instances. */
export class MembershipController implements MemberDirectory, DisposableLike {
	private readonly _members = new Map<string, Member>();
	private readonly _leaving = new Map<string, NodeJS.Timeout>();
	private readonly _onMembersChanged = new Emitter<readonly Member[]>();
	private _self: Member;
	private _maxInstances = unlistedMaxInstances;

	constructor(self: Instance, incarnation: number) {
		this._self = {instance: self, incarnation, state: MemberState.Alive};
		this._members.set(self.id, this._self);
	}

	get onMembersChanged() {
		return this._onMembersChanged.event;
	}

	get self(): Member {
		return this._self;
	}

	get maxInstances(): number {
		return Math.max(this._maxInstances, this._members.size);
	}

	listMembers(): readonly Member[] {
		return [...this._members.values()].filter(member => member.state !== MemberState.Dead);
	}

	/** Takes a newer instance list of the platform. */
	acceptInstanceList(list: InstanceList): void {
		this._maxInstances = list.maxInstances;
		this._members.clear();
		for (const instance of list.instances) {
			this._members.set(instance.id, {instance, incarnation: 0, state: instance.leaving || this._leaving.has(instance.id) ? MemberState.Leaving : MemberState.Alive});
		}

		this._members.set(this._self.instance.id, this._self);
		this._onMembersChanged.fire(this.listMembers());
	}

	/** Marks this instance as leaving. */
	markLeaving(): void {
		this._self = {...this._self, state: MemberState.Leaving};
		this._members.set(this._self.instance.id, this._self);
		this._onMembersChanged.fire(this.listMembers());
	}

	/** Takes the notice of an instance that leaves; it holds until the list can have followed. */
	acceptLeaving(instanceId: string, incarnation: number): void {
		const member = this._members.get(instanceId);
		clearTimeout(this._leaving.get(instanceId));
		this._leaving.set(instanceId, setTimeout(() => {
			this._leaving.delete(instanceId);
		}, leavingMemoryMs).unref());
		if (member !== undefined && instanceId !== this._self.instance.id) {
			this._members.set(instanceId, {...member, incarnation, state: MemberState.Leaving});
			this._onMembersChanged.fire(this.listMembers());
		}
	}

	dispose(): void {
		for (const timer of this._leaving.values()) {
			clearTimeout(timer);
		}

		this._onMembersChanged.dispose();
	}
}
