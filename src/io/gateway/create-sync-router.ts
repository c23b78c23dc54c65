import {initTRPC} from '@trpc/server';
import type {SyncMessage} from '../../common/gateway/sync-message.js';
import type {SyncHandler} from './sync-handler.js';

const builder = initTRPC.create();

const checkMessage = (value: unknown): SyncMessage => {
	const message = value as Partial<SyncMessage> | undefined;
	if (typeof message?.from !== 'string' || !Array.isArray(message.members) || typeof message.view !== 'object') {
		throw new TypeError('a message needs from, members and view');
	}

	return message as SyncMessage;
};

/** Builds the procedures that gateway instances offer each other. */
export const createSyncRouter = (handleMessage: SyncHandler) => builder.router({
	sync: builder.procedure.input(checkMessage).mutation(({input}) => handleMessage(input)),
});
