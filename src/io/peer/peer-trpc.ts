import {initTRPC} from '@trpc/server';
import type {PeerContext} from './peer-context.js';

/** Builder of the procedures that entry instances offer each other. */
export const peerTrpc = initTRPC.context<PeerContext>().create();
