import type {SyncMessage} from '../../common/gateway/sync-message.js';
import type {MemberTable} from '../../policy/gateway/member-table.js';
import type {PeerLink} from './peer-link.js';

/** Consecutive digest mismatches after which all records are sent again. */
const maxDigestMismatches = 3;

/** Restarts the synchronization of records with a peer when the digests keep differing although the peer has no changes to send. */
export const checkDigest = (link: PeerLink, message: SyncMessage, table: MemberTable): void => {
	if (message.digest === table.digest) {
		link.digestMismatches = 0;
		link.acknowledgedNumber = table.changeNumber;
		return;
	}

	link.digestMismatches = message.members.length === 0 ? link.digestMismatches + 1 : 0;
	if (link.digestMismatches >= maxDigestMismatches) {
		link.digestMismatches = 0;
		link.acknowledgedNumber = 0;
	}
};
