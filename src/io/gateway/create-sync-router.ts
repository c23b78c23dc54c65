import {initTRPC} from '@trpc/server';
import type {SyncMessage} from '../../common/gateway/sync-message.js';
import {decodeMember} from './decode-member.js';
import {encodeMember} from './encode-member.js';
import type {SyncEnvelope} from './sync-envelope.js';

const builder = initTRPC.create();

const checkEnvelope = (value: unknown): SyncEnvelope => {
	const envelope = value as Partial<SyncEnvelope> | undefined;
	if (typeof envelope?.from !== 'string' || !Array.isArray(envelope.members) || typeof envelope.view !== 'object') {
		throw new TypeError('a message needs from, members and view');
	}

	return envelope as SyncEnvelope;
};

/**
Builds the procedures that gateway instances offer each other.
@param handleMessage - Takes a peer's message and returns this instance's own.
*/
export const createSyncRouter = (handleMessage: (message: SyncMessage) => SyncMessage) => builder.router({
	sync: builder.procedure.input(checkEnvelope).mutation(({input}): SyncEnvelope => {
		const answer = handleMessage({...input, members: input.members.map(member => decodeMember(member))});
		return {...answer, members: answer.members.map(member => encodeMember(member))};
	}),
});
