import type {GatewayMember} from '../../common/gateway/gateway-member.js';

type Entry = {readonly member: GatewayMember; heardAt: number; isSuspect: boolean};

/** The instances of the fleet as they were last heard of, each by its newest record. */
export class MemberTable {
	private readonly _entries = new Map<string, Entry>();

	/** All records, live or not. */
	get members(): GatewayMember[] {
		return [...this._entries.values()].map(entry => entry.member);
	}

	/** Takes a record if it is newer than the one that is held. */
	offer(member: GatewayMember, now: number): void {
		const held = this._entries.get(member.id)?.member;
		const isNewer = held === undefined || member.incarnation > held.incarnation
			|| (member.incarnation === held.incarnation && member.counter > held.counter);
		if (isNewer) {
			this._entries.set(member.id, {member, heardAt: now, isSuspect: false});
		}
	}

	/** Notes that an instance did not answer; it counts as lost until it is heard of again. */
	markSuspect(id: string): void {
		const entry = this._entries.get(id);
		if (entry !== undefined) {
			entry.isSuspect = true;
		}
	}

	/**
	Lists the instances that count as running.
	@param maxAgeMs - Silence after which an instance counts as lost, in ms.
	*/
	listLive(now: number, maxAgeMs: number): GatewayMember[] {
		return [...this._entries.values()]
			.filter(entry => !entry.isSuspect && now - entry.heardAt <= maxAgeMs)
			.map(entry => entry.member);
	}

	/** Forgets instances that have been silent for long. */
	dropSilent(now: number, maxAgeMs: number): void {
		for (const [id, entry] of this._entries) {
			if (now - entry.heardAt > maxAgeMs) {
				this._entries.delete(id);
			}
		}
	}
}
