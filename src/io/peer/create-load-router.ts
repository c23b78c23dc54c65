import {z} from 'zod';
import type {LoadHandlers} from './load-handlers.js';
import {peerTrpc} from './peer-trpc.js';

const maxServices = 4096;
const watchInputSchema = z.strictObject({services: z.array(z.string().max(64)).max(maxServices)});

/** Builds the router of the load feed, by which the entry instances of a service exchange their counts of requests in flight. */
export const createLoadRouter = (handlers: LoadHandlers) => peerTrpc.router({
	/** Streams the target counts of the named services: a snapshot first, then the changes. */
	watch: peerTrpc.procedure.input(watchInputSchema).subscription(async function * ({input, signal}) {
		yield * handlers.watchLoad(input.services, signal);
	}),
});
