import {initTRPC} from '@trpc/server';
import type {PublishedConfiguration} from '../../common/gateway/published-configuration.js';
import type {SyncMessage} from '../../common/gateway/sync-message.js';
import {decodeMember} from './decode-member.js';
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

const checkEnvelope = (value: unknown): SyncEnvelope => {
	const envelope = value as Partial<SyncEnvelope> | undefined;
	if (typeof envelope?.from !== 'string' || !Array.isArray(envelope.members) || typeof envelope.view !== 'object') {
		throw new TypeError('a message needs from, members and view');
	}

	return envelope as SyncEnvelope;
};

const checkVersion = (value: unknown): number => {
	if (typeof value !== 'number') {
		throw new TypeError('a version must be a number');
	}

	return value;
};

/** Creates the tRPC router that a gateway instance serves to its peers. */
export const createSyncRouter = (handler: SyncHandler) => builder.router({
	sync: builder.procedure.input(checkEnvelope).mutation(({input}): SyncEnvelope => {
		const reply = handler.handleMessage({...input, members: input.members.map(member => decodeMember(member))});
		return {...reply, members: reply.members.map(member => encodeMember(member))};
	}),
	configuration: builder.procedure.input(checkVersion).mutation(({input}): PackedConfiguration | undefined => {
		const published = handler.getConfiguration();
		return published === undefined || published.configuration.version <= input
			? undefined
			: {packed: packConfiguration(published.configuration), ageMs: published.ageMs};
	}),
});
