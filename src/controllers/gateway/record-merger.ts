import type {GatewayMember} from '../../common/gateway/gateway-member.js';
import type {MemberRestart} from '../../common/gateway/member-restart.js';
import {MemberState} from '../../common/gateway/member-state.js';
import type {Metrics} from '../../common/metrics.js';
import type {MemberTable} from '../../policy/gateway/member-table.js';
import {refuteRecord} from '../../policy/gateway/refute-record.js';

type RecordMergerOptions = {
	readonly table: MemberTable;
	/** Id of this instance. */
	readonly selfId: string;
	readonly metrics: Pick<Metrics, 'countEvent'>;
};

type MergeResult = {
	readonly hasChanged: boolean;
	readonly restarts: readonly MemberRestart[];
};

/** Merges the records that peers send into the table of members, refutes those of this instance that are wrong, and counts restarts. */
export class RecordMerger {
	constructor(private readonly _options: RecordMergerOptions) {}

	/** @param source - Instance that sent the records. */
	mergeRecords(members: readonly GatewayMember[], source: string, now: number): MergeResult {
		const {table, selfId, metrics} = this._options;
		const restarts: MemberRestart[] = [];
		let hasChanged = false;
		for (const member of members) {
			const previous = table.get(member.id);
			const isMerged = member.id === selfId ? this._refute(member, now) : table.merge(member, source, now);
			hasChanged ||= isMerged;
			if (isMerged && member.id !== selfId && previous !== undefined && member.incarnation > previous.incarnation) {
				restarts.push({member, previous});
				metrics.countEvent('member.restarts', {previous: MemberState[previous.state].toLowerCase()});
			}
		}

		return {hasChanged, restarts};
	}

	private _refute(received: GatewayMember, now: number): boolean {
		const {table, selfId} = this._options;
		const own = table.get(selfId);
		const updated = own && refuteRecord(own, received);
		return updated !== undefined && table.merge(updated, selfId, now);
	}
}
