import type {createPeerRouter} from './create-peer-router.js';

/** Type of the peer port's procedures, for clients. */
export type PeerRouter = ReturnType<typeof createPeerRouter>;
