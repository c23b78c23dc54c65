import {Buffer} from 'node:buffer';
import {request as openRequest, type Agent} from 'node:http';
import {ByteCollector} from '../../common/byte-collector.js';
import {parseBoundedJson} from '../../common/parse-bounded-json.js';
import {hasTooManyPieces} from '../../policy/has-too-many-pieces.js';

type JsonCall = {
	readonly method: string;
	readonly body?: string | undefined;
	readonly agent: Agent;
	/** Time for the whole exchange, in ms; after it the connection is closed. */
	readonly timeoutMs: number;
	/** Time in which nothing arrives after which the connection is closed as well, in ms; for responses that are large on a slow link. */
	readonly silenceMs?: number;
};

type JsonResponse = {
	readonly ok: boolean;
	readonly status: number;
	/** Gets the value of a header; undefined when it is absent. */
	getHeader(name: string): string | undefined;
	/** Parses the body; rejects when it is not JSON, or has too many values to be held. */
	json(): Promise<unknown>;
};

/** Maximum size of a response body; a page of the registry has at most 1 MB, and a full message of a peer 1 MB. */
const maxResponseBytes = 8 * 1_048_576;

/** Sends a JSON request and resolves with the buffered response; rejects when the connection fails, or when a time limit or the maximum size is exceeded. */
export const sendJson = async (url: string, options: JsonCall): Promise<JsonResponse> => new Promise((resolve, reject) => {
	const {method, body, agent, timeoutMs, silenceMs = timeoutMs} = options;
	const startedAt = performance.now();
	const headers = body === undefined ? {} : {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)};
	let hasResponse = false;
	const request = openRequest(url, {method, agent, headers}, response => {
		hasResponse = true;
		const collector = new ByteCollector();
		let pieceCount = 0;
		response.on('data', (chunk: Uint8Array) => {
			pieceCount++;
			const byteCount = collector.length + chunk.length;
			if (byteCount > maxResponseBytes || hasTooManyPieces(pieceCount, byteCount)) {
				response.destroy(new Error(`the response from ${url} is larger than ${maxResponseBytes} bytes or arrives in too many pieces`));
				return;
			}

			collector.add(chunk);
			clearTimeout(timer);
			timer = scheduleEnd();
		});
		response.on('error', error => {
			clearTimeout(timer);
			reject(error);
		});
		response.on('end', () => {
			clearTimeout(timer);
			const status = response.statusCode ?? 0;
			resolve({
				ok: status >= 200 && status < 300,
				status,
				getHeader: name => response.headers[name.toLowerCase()]?.toString(),
				json: async () => parseBoundedJson(Buffer.from(collector.mergeBlocks().buffer, 0, collector.length).toString('utf8')),
			});
		});
	});
	const scheduleEnd = () => {
		const leftMs = Math.max(0, Math.min(silenceMs, timeoutMs - (performance.now() - startedAt)));
		return setTimeout(() => {
			request.destroy(new Error(`no response from ${url} within ${Math.round(performance.now() - startedAt)} ms`));
		}, leftMs);
	};

	let timer = scheduleEnd();
	request.on('error', error => {
		clearTimeout(timer);
		reject(error);
	});
	request.once('close', () => {
		// Node.js closes the connection of a response that switches protocols without an error.
		if (!hasResponse) {
			clearTimeout(timer);
			reject(new Error(`the connection to ${url} closed without a response`));
		}
	});
	request.end(body);
});
