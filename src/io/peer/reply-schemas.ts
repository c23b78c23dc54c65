import {z} from 'zod';
import {Outcome} from '../../common/outcome.js';
import {memberRecordSchema} from './member-record-schema.js';
import {pingMessageSchema} from './ping-message-schema.js';
import {revisionRefSchema} from './revision-ref-schema.js';
import {storedResponseSchema} from './stored-response-schema.js';

const count = z.number().min(0);
const reportSchema = z.object({
	claimId: z.string(), holder: z.string(), outcome: z.enum(Outcome).optional(), answer: storedResponseSchema.optional(),
});

/** Schemas of what a peer answers, by procedure. Answers of other procedures are not read. */
export const replySchemas: ReadonlyMap<string, z.ZodType> = new Map<string, z.ZodType>([
	['fleet.ping', pingMessageSchema],
	['fleet.relayPing', z.boolean()],
	['fleet.push', memberRecordSchema],
	['fleet.reconcile', z.object({records: z.array(memberRecordSchema), wanted: z.array(z.string())})],
	['fleet.listRevisions', z.array(revisionRefSchema)],
	['fleet.readValues', z.array(z.object({
		key: z.string(), revision: count, offset: count, text: z.string(),
	}))],
	['keys.claim', z.discriminatedUnion('kind', [
		z.object({kind: z.enum(['granted', 'conflict', 'unvouched', 'full'])}),
		z.object({kind: z.literal('known'), report: reportSchema}),
	])],
	['keys.wait', reportSchema.optional()],
	['load.watch', z.discriminatedUnion('kind', [
		z.object({
			kind: z.literal('whole'),
			targets: z.array(z.object({
				service: z.string(), targetId: z.string(), inFlight: count, longInFlight: count, shortMs: count, isDraining: z.boolean(),
			})),
		}),
		z.object({kind: z.literal('changes'), changes: z.array(z.tuple([count, count, count, count, z.literal([0, 1])]))}),
	])],
]);
