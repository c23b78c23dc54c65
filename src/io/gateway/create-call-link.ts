import type {Agent} from 'node:http';
import {TRPCClientError, type TRPCLink} from '@trpc/client';
import {observable} from '@trpc/server/observable';
import {sendJson} from './send-json.js';
import type {SyncRouter} from './sync-router.js';

type CallLinkOptions = {
	/** Host and port of the peer. */
	readonly peerAddress: string;
	readonly agent: Agent;
	/** Time limit of a procedure, in ms. */
	readonly getTimeoutMs: (procedure: string) => number;
};

const getField = (value: unknown, name: string): unknown => typeof value === 'object' && value !== null ? (value as Record<string, unknown>)[name] : undefined;

/** Creates a tRPC link that sends mutations to one peer over HTTP. The library's own link uses the global fetch, which would load a second HTTP client. */
export const createCallLink = ({peerAddress, agent, getTimeoutMs}: CallLinkOptions): TRPCLink<SyncRouter> => () => ({op}) => observable(observer => {
	const call = async (): Promise<unknown> => {
		const response = await sendJson(`http://${peerAddress}/${op.path}`, {
			method: 'POST', body: JSON.stringify(op.input), agent, timeoutMs: getTimeoutMs(op.path),
		});
		const callResponse = await response.json();
		if (getField(callResponse, 'error') !== undefined) {
			throw TRPCClientError.from(callResponse as Parameters<typeof TRPCClientError.from>[0]);
		}

		const result = getField(callResponse, 'result');
		if (typeof result !== 'object' || result === null) {
			throw new TypeError(`the response of ${peerAddress} has no result`);
		}

		return getField(result, 'data');
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
