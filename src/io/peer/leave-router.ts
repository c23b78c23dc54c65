import {z} from 'zod';
import type {PeerHandlers} from './peer-handlers.js';
import {peerTrpc} from './peer-trpc.js';

const noticeSchema = z.strictObject({
	instanceId: z.string().min(1).max(128),
	incarnation: z.number(),
});

/** Builds the procedures by which an instance tells its peers that it leaves. */
export const createLeaveRouter = (handlers: PeerHandlers) => peerTrpc.router({
	/** Takes the notice of an instance that leaves. */
	announce: peerTrpc.procedure.input(noticeSchema).mutation(({input}) => {
		handlers.acceptLeaving(input.instanceId, input.incarnation);
	}),
});
