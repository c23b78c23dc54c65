import type {IncomingMessage} from 'node:http';
import {ByteCollector} from '../../common/byte-collector.js';
import type {ResponseHold} from '../../policy/gateway/response-hold.js';
import {hasDelimitedBody} from '../../policy/has-delimited-body.js';
import {hasTooManyPieces} from '../../policy/has-too-many-pieces.js';
import {detectCleanClose} from './detect-clean-close.js';
import type {TargetExchange} from './target-exchange.js';

type CollectOptions = {
	/** Method of the request. */
	readonly method: string;
	/** Holds the memory of the response; enlarged with it. */
	readonly memory: ResponseHold;
	/** Maximum size of the body; a larger one fails the exchange. */
	readonly maxResponseBytes: number;
};

/** Takes memory for the next piece of a response; returns why the response has to be given up, if so. */
const checkGrowth = ({memory, maxResponseBytes}: CollectOptions, collector: ByteCollector, pieceBytes: number, pieceCount: number): string | undefined => {
	const length = collector.length + pieceBytes;
	if (length > maxResponseBytes) {
		return `the response is larger than ${maxResponseBytes} bytes`;
	}

	if (hasTooManyPieces(pieceCount, length)) {
		return `the response arrives in ${pieceCount} pieces for ${length} bytes`;
	}

	const capacity = collector.computeCapacity(pieceBytes);
	return capacity <= memory.bytes || memory.resize(capacity) ? undefined : 'the responses in progress take all the memory that they may';
};

/** Buffers the body of a target's response, and calls `settle` when the response is complete or can no longer become so. */
export const collectResponse = (options: CollectOptions, response: IncomingMessage, settle: (exchange: TargetExchange) => void): void => {
	const {statusCode: status = 0, rawHeaders} = response;
	const declaredBytes = Number(response.headers['content-length'] ?? 0);
	// A block of the declared length needs no merging, which would take the memory of the response twice.
	const collector = new ByteCollector(declaredBytes <= options.maxResponseBytes && options.method !== 'HEAD' ? declaredBytes : 0);
	const cleanClose = hasDelimitedBody(options.method, status, rawHeaders) ? undefined : detectCleanClose(response.socket);
	let pieceCount = 0;
	options.memory.setEviction(Number.NEGATIVE_INFINITY, () => {
		response.destroy(new Error(`the response was given up at ${collector.length} bytes, since smaller ones needed its memory`));
	});
	response.on('data', (piece: Uint8Array) => {
		pieceCount++;
		const fault = checkGrowth(options, collector, piece.length, pieceCount);
		if (fault === undefined) {
			collector.add(piece);
		} else {
			response.destroy(new Error(fault));
		}
	});
	const finish = async () => {
		const isComplete = response.complete && (cleanClose === undefined || await cleanClose);
		settle(isComplete
			? {kind: 'answer', answer: {status, rawHeaders, body: collector.mergeBlocks()}}
			: {kind: 'lost', detail: 'the response was truncated'});
	};

	response.on('end', () => {
		void finish();
	});
	response.on('error', error => {
		settle({kind: 'lost', detail: error.message});
	});
	response.on('close', () => {
		if (!response.complete) {
			settle({kind: 'lost', detail: 'the response was truncated'});
		}
	});
};
