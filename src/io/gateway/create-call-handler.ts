import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
	type AnyTRPCRouter, callTRPCProcedure, type TRPCDefaultErrorShape, getTRPCErrorFromUnknown, getTRPCErrorShape, TRPCError,
} from '@trpc/server';

/** Maximum size of a call's input; a list of 4,000 targets takes 1 MB. */
const maxInputBytes = 8 * 1024 * 1024;

/** Reads the input of a call; rejects when it is too long or not valid JSON. */
const readInput = async (request: IncomingMessage): Promise<unknown> => {
	const chunks: Uint8Array[] = [];
	let byteCount = 0;
	for await (const chunk of request as AsyncIterable<Uint8Array>) {
		byteCount += chunk.length;
		if (byteCount > maxInputBytes) {
			throw new TRPCError({code: 'PAYLOAD_TOO_LARGE', message: `the input is larger than ${maxInputBytes} bytes`});
		}

		chunks.push(chunk);
	}

	try {
		return JSON.parse(Buffer.concat(chunks).toString('utf8')) as unknown;
	} catch (error) {
		throw new TRPCError({code: 'PARSE_ERROR', cause: error});
	}
};

/**
Creates a request listener that serves single mutations of a tRPC router over HTTP. It replaces the library's own adapter, which creates a
web Request, a web Response and streams for each call and so costs more than the call itself.
*/
export const createCallHandler = (router: AnyTRPCRouter) => {
	const runCall = async (request: IncomingMessage): Promise<{status: number; body: unknown}> => {
		const path = (request.url ?? '').slice(1);
		try {
			const input = await readInput(request);
			const data: unknown = await callTRPCProcedure({
				router, path, type: 'mutation', ctx: {}, getRawInput: async () => input, signal: undefined, batchIndex: 0,
			});
			return {status: 200, body: {result: {data}}};
		} catch (error_) {
			const error = getTRPCErrorFromUnknown(error_);
			const shape = getTRPCErrorShape({
				config: router._def._config, error, type: 'mutation', path, input: undefined, ctx: {},
			}) as TRPCDefaultErrorShape;
			return {status: shape.data.httpStatus, body: {error: shape}};
		}
	};

	return async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
		const {status, body} = await runCall(request);
		const text = JSON.stringify(body);
		response.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)});
		response.end(text);
	};
};
