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

/** Sends a JSON request and resolves with the buffered response; rejects when the connection fails or the time limit is exceeded. */
export const sendJson = async (url: string, options: JsonCall): Promise<JsonResponse> => new Promise((resolve, reject) => {
	const {method, body, agent, timeoutMs} = options;
	const headers = body === undefined ? {} : {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)};
	const request = openRequest(url, {method, agent, headers}, response => {
		const chunks: Uint8Array[] = [];
		response.on('data', (chunk: Uint8Array) => {
			chunks.push(chunk);
		});
		response.on('error', reject);
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
