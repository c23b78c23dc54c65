import type {MemberRecord} from '../../policy/membership/member-record.js';
import type {MemberSummary} from './member-summary.js';
import type {PingMessage} from './ping-message.js';
import type {RevisionRef} from './revision-ref.js';
import type {ValuePart} from './value-part.js';
import type {ValueRequest} from './value-request.js';

/** What membership and configuration offer to peers. */
export type FleetHandlers = {
	answerPing(message: PingMessage): PingMessage;
	/** Pings a third instance on behalf of a peer. */
	relayPing(id: string): Promise<boolean>;
	/** Takes records of members and answers with this instance's own. */
	acceptRecords(records: readonly MemberRecord[]): MemberRecord;
	/** Answers with the records that the peer lacks and the ids of those that this instance lacks. */
	reconcileRecords(summaries: readonly MemberSummary[]): {readonly records: readonly MemberRecord[]; readonly wanted: readonly string[]};
	acceptAnnouncement(refs: readonly RevisionRef[], peerId: string): void;
	listRevisions(): readonly RevisionRef[];
	readValues(requests: readonly ValueRequest[]): readonly ValuePart[];
};
