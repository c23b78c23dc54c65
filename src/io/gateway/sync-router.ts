import type {createSyncRouter} from './create-sync-router.js';

/** Type of the procedures that gateway instances offer each other. */
export type SyncRouter = ReturnType<typeof createSyncRouter>;
