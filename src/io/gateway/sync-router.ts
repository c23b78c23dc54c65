import type {createSyncRouter} from './create-sync-router.js';

/** Type of the tRPC router that gateway instances serve to each other. */
export type SyncRouter = ReturnType<typeof createSyncRouter>;
