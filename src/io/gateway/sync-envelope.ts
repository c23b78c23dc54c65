import type {SyncMessage} from '../../common/gateway/sync-message.js';
import type {EncodedMember} from './encoded-member.js';

/** Wire format of a message between instances. */
export type SyncEnvelope = Omit<SyncMessage, 'members'> & {readonly members: readonly EncodedMember[]};
