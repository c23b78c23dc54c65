import {z} from 'zod';
import {Outcome} from '../../common/outcome.js';
import type {KeyHandlers} from './key-handlers.js';
import {peerTrpc} from './peer-trpc.js';
import {storedResponseSchema} from './stored-response-schema.js';

const nameSchema = z.string().min(1).max(128);
const keyFields = {service: nameSchema, key: z.string().min(1).max(255)};
const claimSchema = z.strictObject({
	...keyFields,
	fingerprint: z.string().max(128),
	claimId: nameSchema,
	holder: nameSchema,
	firstSentAgoMs: z.number().min(0).optional(),
	memoryMs: z.number().min(1).max(86_400_000),
});
const settlementSchema = z.strictObject({
	...keyFields, claimId: nameSchema, outcome: z.enum(Outcome), answer: storedResponseSchema.optional(),
});
const waitSchema = z.strictObject({...keyFields, waitMs: z.number().min(0).max(3_600_000)});

/** Builds the router of the procedures by which instances store idempotency keys for each other. */
export const createKeysRouter = (handlers: KeyHandlers) => peerTrpc.router({
	/** Asks an owner of a key for permission to run its request. */
	claim: peerTrpc.procedure.input(claimSchema).mutation(({input}) => handlers.acceptClaim({...input, firstSentAgoMs: input.firstSentAgoMs})),
	/** Reports the outcome of the request to an owner of its key. */
	settle: peerTrpc.procedure.input(settlementSchema).mutation(({input}) => {
		handlers.acceptSettlement({...input, answer: input.answer});
	}),
	/** Waits until the request of a key has ended; called at the instance that runs the request. */
	wait: peerTrpc.procedure.input(waitSchema).query(async ({input}) => handlers.waitForKey(input.service, input.key, input.waitMs)),
});
