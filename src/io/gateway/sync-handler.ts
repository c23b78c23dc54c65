import type {SyncMessage} from '../../common/gateway/sync-message.js';

/** Takes a peer's message and returns this instance's own. */
export type SyncHandler = (message: SyncMessage) => SyncMessage;
