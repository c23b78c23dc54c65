import {initTRPC, TRPCError} from '@trpc/server';
import type {PublishedConfiguration} from '../../common/gateway/published-configuration.js';
import type {SyncMessage} from '../../common/gateway/sync-message.js';
import type {Logger} from '../../common/logger.js';
import {decodeEnvelope} from './decode-envelope.js';
import {encodeMember} from './encode-member.js';
import {packConfiguration} from './pack-configuration.js';
import type {PackedConfiguration} from './packed-configuration.js';
import type {SyncEnvelope} from './sync-envelope.js';

type SyncHandler = {
	/** Handles a peer's message and returns this instance's message. */
	handleMessage(message: SyncMessage): SyncMessage;
	/** The configuration in force; undefined when there is none. */
	getConfiguration(): PublishedConfiguration | undefined;
};

const builder = initTRPC.create();

/** Throws for an invalid message, which tRPC reports to the peer. */
const unwrapEnvelope = (decoded: ReturnType<typeof decodeEnvelope>) => {
	if (decoded.isErr()) {
		throw new TRPCError({code: 'BAD_REQUEST', message: decoded.error});
	}

	return decoded.value;
};

const checkVersion = (value: unknown): number => {
	if (typeof value !== 'number') {
		throw new TypeError('a version must be a number');
	}

	return value;
};

/** Creates the tRPC router that a gateway instance serves to its peers. */
export const createSyncRouter = (handler: SyncHandler, logger: Logger) => builder.router({
	sync: builder.procedure.input((value: unknown) => value).mutation(({input}): SyncEnvelope => {
		const {message, refused} = unwrapEnvelope(decodeEnvelope(input));
		if (refused.length > 0) {
			logger.logError('peer-record-refused', {peer: message.from, detail: refused.join(', ')});
		}

		const reply = handler.handleMessage(message);
		return {...reply, members: reply.members.map(member => encodeMember(member))};
	}),
	configuration: builder.procedure.input(checkVersion).mutation(({input}): PackedConfiguration | undefined => {
		const published = handler.getConfiguration();
		return published === undefined || published.configuration.version <= input
			? undefined
			: {packed: packConfiguration(published.configuration), version: published.configuration.version, ageMs: published.ageMs};
	}),
});
