import {createKeysRouter} from './create-keys-router.js';
import {createFleetRouter} from './create-fleet-router.js';
import {createLoadRouter} from './create-load-router.js';
import {peerTrpc} from './peer-trpc.js';
import type {PeerHandlers} from './peer-handlers.js';

/** Builds the router of the peer port. */
export const createPeerRouter = (handlers: PeerHandlers) => peerTrpc.router({
	/** Describes the responding instance. */
	hello: peerTrpc.procedure.query(() => handlers.describeSelf()),
	keys: createKeysRouter(handlers.keys),
	fleet: createFleetRouter(handlers.fleet),
	load: createLoadRouter(handlers.load),
});
