import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
	type AnyTRPCRouter, callTRPCProcedure, type TRPCDefaultErrorShape, getTRPCErrorFromUnknown, getTRPCErrorShape, TRPCError,
} from '@trpc/server';
import {ByteCollector} from '../../common/byte-collector.js';
import {parseBoundedJson} from '../../common/parse-bounded-json.js';
import type {HeldBytes} from '../../policy/gateway/held-bytes.js';
import {hasTooManyPieces} from '../../policy/has-too-many-pieces.js';

/** Maximum size of a call's input; a list of 4,000 targets takes 1 MB. */
const maxInputBytes = 8 * 1024 * 1024;

/** Passes each piece of a request's body to `collectPiece`; rejects with the error that it returns, and when the connection ends too soon. */
const readPieces = async (request: IncomingMessage, collectPiece: (piece: Uint8Array) => TRPCError | undefined): Promise<void> => new Promise((resolve, reject) => {
	const handleData = (piece: Uint8Array) => {
		const error = collectPiece(piece);
		if (error !== undefined) {
			request.off('data', handleData);
			request.destroy();
			reject(error);
		}
	};

	request.on('data', handleData);
	request.once('end', resolve);
	request.once('error', reject);
});

/** Reads the input of a call; rejects when it is too long or not valid JSON, or when the inputs of all calls take too much memory. */
const readInput = async (request: IncomingMessage, heldBytes: HeldBytes): Promise<unknown> => {
	const collector = new ByteCollector();
	let pieceCount = 0;
	let takenBytes = 0;
	const collectPiece = (piece: Uint8Array): TRPCError | undefined => {
		pieceCount++;
		const byteCount = collector.length + piece.length;
		if (byteCount > maxInputBytes || hasTooManyPieces(pieceCount, byteCount)) {
			return new TRPCError({code: 'PAYLOAD_TOO_LARGE', message: `the input is larger than ${maxInputBytes} bytes or arrives in too many pieces`});
		}

		const missingBytes = collector.computeCapacity(piece.length) - takenBytes;
		if (!heldBytes.tryTake(missingBytes)) {
			return new TRPCError({code: 'TOO_MANY_REQUESTS', message: `the inputs of the calls in progress take ${heldBytes.held} bytes`});
		}

		takenBytes += missingBytes;
		collector.add(piece);
		return undefined;
	};

	try {
		await readPieces(request, collectPiece);
		return parseBoundedJson(Buffer.from(collector.mergeBlocks().buffer, 0, collector.length).toString('utf8'));
	} catch (error) {
		throw error instanceof TRPCError ? error : new TRPCError({code: 'PARSE_ERROR', cause: error});
	} finally {
		heldBytes.release(takenBytes);
	}
};

/**
Creates a request listener that serves single mutations of a tRPC router over HTTP. It replaces the library's own adapter, which creates a
web Request, a web Response and streams for each call and so costs more than the call itself.
@param heldBytes - Limits the inputs that all calls in progress hold together.
*/
export const createCallHandler = (router: AnyTRPCRouter, heldBytes: HeldBytes) => {
	const runCall = async (request: IncomingMessage): Promise<{status: number; body: unknown}> => {
		const path = (request.url ?? '').slice(1);
		try {
			const input = await readInput(request, heldBytes);
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
