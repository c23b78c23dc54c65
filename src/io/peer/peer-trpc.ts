import {initTRPC} from '@trpc/server';
import type {PeerContext} from './peer-context.js';

/** TRPC builder of the procedures that entry instances call on each other. */
export const peerTrpc = initTRPC.context<PeerContext>().create();
