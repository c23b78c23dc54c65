import {z} from 'zod';
import {MemberState} from '../../common/member-state.js';
import type {FleetHandlers} from './fleet-handlers.js';
import {memberRecordSchema} from './member-record-schema.js';
import {peerTrpc} from './peer-trpc.js';
import {pingMessageSchema} from './ping-message-schema.js';
import {revisionRefSchema} from './revision-ref-schema.js';

const maxItems = 65_536;
const idSchema = z.string().min(1).max(128);
const keySchema = z.string().min(1).max(512);
const summarySchema = z.object({
	id: idSchema, incarnation: z.number(), sequence: z.number(), state: z.enum(MemberState),
});
const valueRequestSchema = z.object({key: keySchema, revision: z.number().min(0), offset: z.int().min(0)});

/** Builds the router of the membership and configuration procedures. */
export const createFleetRouter = (handlers: FleetHandlers) => peerTrpc.router({
	ping: peerTrpc.procedure.input(pingMessageSchema).query(({input}) => handlers.handlePing(input)),
	relayPing: peerTrpc.procedure.input(idSchema).query(async ({input}) => handlers.relayPing(input)),
	push: peerTrpc.procedure.input(z.array(memberRecordSchema).max(maxItems)).mutation(({input}) => handlers.acceptRecords(input)),
	reconcile: peerTrpc.procedure.input(z.array(summarySchema).max(maxItems)).query(({input}) => handlers.reconcileRecords(input)),
	announce: peerTrpc.procedure.input(z.array(revisionRefSchema).max(maxItems)).mutation(({input, ctx}) => {
		handlers.acceptAnnouncement(input, ctx.peerId);
	}),
	listRevisions: peerTrpc.procedure.query(() => handlers.listRevisions()),
	readValues: peerTrpc.procedure.input(z.array(valueRequestSchema).max(256)).query(({input}) => handlers.readValues(input)),
});
