import type {MemberRecord} from '../../policy/membership/member-record.js';
import type {MemberSummary} from './member-summary.js';
import type {PingMessage} from './ping-message.js';
import type {RevisionRef} from './revision-ref.js';
import type {ValuePart} from './value-part.js';
import type {ValueRequest} from './value-request.js';

/** Handlers of the membership and configuration procedures that peers call. */
export type FleetHandlers = {
	handlePing(message: PingMessage): PingMessage;
	/** Pings a third instance on behalf of a peer. */
	relayPing(id: string): Promise<boolean>;
	/** Merges member records of a peer and returns this instance's own record. */
	acceptRecords(records: readonly MemberRecord[]): MemberRecord;
	/** Returns the records that the peer lacks and the ids of those that this instance lacks. */
	reconcileRecords(summaries: readonly MemberSummary[]): {readonly records: readonly MemberRecord[]; readonly wanted: readonly string[]};
	acceptAnnouncement(refs: readonly RevisionRef[], peerId: string): void;
	listRevisions(): readonly RevisionRef[];
	readValues(requests: readonly ValueRequest[]): readonly ValuePart[];
};
