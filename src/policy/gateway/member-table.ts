import type {GatewayMember} from '../../common/gateway/gateway-member.js';
import {MemberState} from '../../common/gateway/member-state.js';
import {computeTextHash} from './compute-text-hash.js';

type Entry = {
	readonly member: GatewayMember;
	/** Sequence number of the change that stored the record. */
	readonly changeNumber: number;
	readonly changedAt: number;
	/** Instance that sent the record. */
	readonly source: string;
};

const hashMember = ({id, incarnation, revision}: GatewayMember): number => computeTextHash(`${id} ${incarnation} ${revision}`);

const isNewer = (member: GatewayMember, current: GatewayMember): boolean => {
	if (member.incarnation !== current.incarnation) {
		return member.incarnation > current.incarnation;
	}

	return member.revision === current.revision ? member.state > current.state : member.revision > current.revision;
};

/** The newest record of each instance of the fleet, with the order in which the records were stored. */
export class MemberTable {
	private readonly _entries = new Map<string, Entry>();
	private _changeNumber = 0;
	private _digest = 0;

	/** Sequence number of the last change. */
	get changeNumber(): number {
		return this._changeNumber;
	}

	/** Hash over the records of all running instances; equal in tables with equal records. */
	get digest(): number {
		return this._digest;
	}

	/** All records, running or not. */
	get members(): GatewayMember[] {
		return [...this._entries.values()].map(({member}) => member);
	}

	get(id: string): GatewayMember | undefined {
		return this._entries.get(id)?.member;
	}

	/**
	Stores a record if it is newer than the current one; returns whether it was stored.
	@param source - Instance that sent the record.
	*/
	merge(member: GatewayMember, source: string, now: number): boolean {
		const current = this._entries.get(member.id)?.member;
		// An instance that left before it was known need not be stored.
		if (current === undefined ? member.state === MemberState.Left : !isNewer(member, current)) {
			return false;
		}

		this._updateDigest(current);
		this._updateDigest(member);
		this._changeNumber++;
		this._entries.set(member.id, {
			member, changeNumber: this._changeNumber, changedAt: now, source,
		});
		return true;
	}

	/** Lists the instances that count as running. */
	listRunning(): GatewayMember[] {
		return this.members.filter(({state}) => state === MemberState.Running);
	}

	/** Lists the instances that did not respond and have not announced a shutdown. */
	listLost(): GatewayMember[] {
		return this.members.filter(({state}) => state === MemberState.Lost);
	}

	/** Lists the instances that have not left and so may be running, whether they are reachable or not. */
	listNotLeft(): GatewayMember[] {
		return this.members.filter(({state}) => state !== MemberState.Left);
	}

	/** Counts the instances of a failure domain that have not left. */
	countNotLeft(failureDomain: string): number {
		return this.listNotLeft().filter(member => member.failureDomain === failureDomain).length;
	}

	/**
	Lists the records that changed after a given change.
	@param receiver - Instance that the changes are for; records that it sent itself are omitted.
	*/
	listChanges(changeNumber: number, receiver: string): GatewayMember[] {
		if (changeNumber >= this._changeNumber) {
			return [];
		}

		return [...this._entries.values()]
			.filter(entry => entry.changeNumber > changeNumber && entry.source !== receiver)
			.map(({member}) => member);
	}

	/** Removes instances that have been lost or have left for longer than the maximum age. */
	dropEnded(now: number, maxAgeMs: number): void {
		for (const [id, {member, changedAt}] of this._entries) {
			if (member.state !== MemberState.Running && now - changedAt > maxAgeMs) {
				this._entries.delete(id);
			}
		}
	}

	private _updateDigest(member: GatewayMember | undefined): void {
		if (member?.state === MemberState.Running) {
			this._digest = (this._digest ^ hashMember(member)) >>> 0; // eslint-disable-line no-bitwise
		}
	}
}
