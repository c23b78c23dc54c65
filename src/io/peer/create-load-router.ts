import {z} from 'zod';
import type {LoadHandlers} from './load-handlers.js';
import {peerTrpc} from './peer-trpc.js';

const maxServices = 4096;
const watchInputSchema = z.strictObject({services: z.array(z.string().max(64)).max(maxServices)});

/** Builds the procedures by which the entries of a service tell each other what they have in flight. */
export const createLoadRouter = (handlers: LoadHandlers) => peerTrpc.router({
	/** The counts of the named services, whole at first, then their changes. */
	watch: peerTrpc.procedure.input(watchInputSchema).subscription(async function * ({input, signal}) {
		yield * handlers.watchLoad(input.services, signal);
	}),
});
