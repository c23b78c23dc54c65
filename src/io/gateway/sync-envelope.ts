import type {SyncMessage} from '../../common/gateway/sync-message.js';
import type {EncodedMember} from './encoded-member.js';

/** A message between instances as it is sent. */
export type SyncEnvelope = Omit<SyncMessage, 'members'> & {readonly members: readonly EncodedMember[]};
