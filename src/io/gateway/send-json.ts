import {Buffer} from 'node:buffer';
import {request as openRequest, type Agent} from 'node:http';

type JsonCall = {
	readonly method: string;
	readonly body?: string | undefined;
	readonly agent: Agent;
	/** Time for the whole exchange, in ms; after it the connection is closed. */
	readonly timeoutMs: number;
};

type JsonResponse = {
	readonly ok: boolean;
	readonly status: number;
	/** Parses the body; rejects when it is not JSON. */
	json(): Promise<unknown>;
};

/** Maximum size of a response body; a page of the registry has at most 1 MB, and a full message of a peer 1 MB. */
const maxResponseBytes = 8 * 1_048_576;

/** Sends a JSON request and resolves with the buffered response; rejects when the connection fails, or when the time limit or the maximum size is exceeded. */
export const sendJson = async (url: string, options: JsonCall): Promise<JsonResponse> => new Promise((resolve, reject) => {
	const {method, body, agent, timeoutMs} = options;
	const headers = body === undefined ? {} : {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)};
	const request = openRequest(url, {method, agent, headers}, response => {
		const chunks: Uint8Array[] = [];
		let byteCount = 0;
		response.on('data', (chunk: Uint8Array) => {
			byteCount += chunk.length;
			if (byteCount > maxResponseBytes) {
				response.destroy(new Error(`the response from ${url} is larger than ${maxResponseBytes} bytes`));
				return;
			}

			chunks.push(chunk);
		});
		response.on('error', error => {
			clearTimeout(timer);
			reject(error);
		});
		response.on('end', () => {
			clearTimeout(timer);
			const status = response.statusCode ?? 0;
			resolve({ok: status >= 200 && status < 300, status, json: async () => JSON.parse(Buffer.concat(chunks).toString('utf8')) as unknown});
		});
	});
	const timer = setTimeout(() => {
		request.destroy(new Error(`no response from ${url} within ${timeoutMs} ms`));
	}, timeoutMs);
	request.on('error', error => {
		clearTimeout(timer);
		reject(error);
	});
	request.end(body);
});
