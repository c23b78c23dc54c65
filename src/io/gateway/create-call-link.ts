import type {Agent} from 'node:http';
import {TRPCClientError, type TRPCLink} from '@trpc/client';
import {observable} from '@trpc/server/observable';
import {sendJson} from './send-json.js';
import type {SyncRouter} from './sync-router.js';

type CallLinkOptions = {
	/** Host and port of the peer. */
	readonly peerAddress: string;
	readonly agent: Agent;
	readonly timeoutMs: number;
};

type CallAnswer = {readonly result: {readonly data: unknown}} | {readonly error: {readonly message: string; readonly code: number; readonly data: Record<string, unknown>}};

/** Creates a link that carries mutations to one peer by trpc's HTTP protocol; the global fetch of the library's own would load a second HTTP client. */
export const createCallLink = ({peerAddress, agent, timeoutMs}: CallLinkOptions): TRPCLink<SyncRouter> => () => ({op}) => observable(observer => {
	const call = async (): Promise<unknown> => {
		const response = await sendJson(`http://${peerAddress}/${op.path}`, {
			method: 'POST', body: JSON.stringify(op.input), agent, timeoutMs,
		});
		const answer = await response.json() as CallAnswer;
		if ('error' in answer) {
			throw TRPCClientError.from(answer as Parameters<typeof TRPCClientError.from>[0]);
		}

		return answer.result.data;
	};

	const run = async (): Promise<void> => {
		try {
			const data = await call();
			observer.next({result: {type: 'data', data}});
			observer.complete();
		} catch (error) {
			observer.error(TRPCClientError.from(error as Error));
		}
	};

	void run();
});
