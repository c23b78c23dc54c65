import {Buffer} from 'node:buffer';
import {err, ok, type Result} from 'neverthrow';
import {Agent, request, type Dispatcher} from 'undici';
import {z} from 'zod';
import type {DisposableLike} from '../common/disposable-like.js';
import type {PlatformValue} from './platform-value.js';

const kvEntrySchema = z.object({
	// eslint-disable-next-line @typescript-eslint/naming-convention
	Key: z.string(),
	// eslint-disable-next-line @typescript-eslint/naming-convention
	Value: z.string().nullable(),
	// eslint-disable-next-line @typescript-eslint/naming-convention
	ModifyIndex: z.int().min(0),
});
const kvResponseSchema = z.array(kvEntrySchema);
const keysResponseSchema = z.array(z.string());

type WatchOptions = {
	/** Index of the last response: the service responds once it has a newer one, or immediately when this is 0. */
	readonly index?: number;
	/** Maximum time for which the service holds the call, in ms. */
	readonly waitMs?: number;
	readonly signal?: AbortSignal;
};

const maxResponseBytes = 4_194_304;
const callTimeoutMs = 2000;

/**
Client of the configuration service. Reads and watches keys with blocking queries, as Consul defines them for its key-value store
(`GET /v1/kv/<key>?index=N&wait=Nms`, index in the header `X-Consul-Index`). It never writes.
*/
export class PlatformClient implements DisposableLike {
	private readonly _agent = new Agent({connections: 512, bodyTimeout: callTimeoutMs});

	private _baseUrlIndex = 0;

	/** @param _baseUrls - Base URLs of the service; a failed call switches to the next one. */
	constructor(private readonly _baseUrls: readonly string[]) {}

	/** Reads one key, or waits for its next change. */
	async readValue(key: string, options: WatchOptions = {}): Promise<Result<PlatformValue, Error>> {
		return this._call(`/v1/kv/${key}`, options, (body, watchIndex) => {
			const entry = body === undefined ? undefined : kvResponseSchema.parse(body)[0];
			const text = entry === undefined ? undefined : Buffer.from(entry.Value ?? '', 'base64').toString('utf8');
			return {
				key, text, modifyIndex: entry?.ModifyIndex ?? 0, watchIndex,
			};
		});
	}

	/** Lists the keys below a prefix, or waits for the next change below it. */
	async listKeys(prefix: string, options: WatchOptions = {}): Promise<Result<{readonly keys: readonly string[]; readonly watchIndex: number}, Error>> {
		return this._call(`/v1/kv/${prefix}?keys=true`, options, (body, watchIndex) => ({keys: body === undefined ? [] : keysResponseSchema.parse(body), watchIndex}));
	}

	dispose(): void {
		void this._agent.destroy();
	}

	private async _call<T>(path: string, options: WatchOptions, decode: (body: unknown, watchIndex: number) => T): Promise<Result<T, Error>> {
		const waitMs = options.index === undefined ? 0 : options.waitMs ?? 0;
		const baseUrlIndex = this._baseUrlIndex;
		const url = new URL(path, this._baseUrls[baseUrlIndex]);
		if (options.index !== undefined) {
			url.searchParams.set('index', String(options.index));
			url.searchParams.set('wait', `${waitMs}ms`);
		}

		try {
			// Like Consul, the service adds a random delay of up to a sixteenth of the wait.
			const headersTimeout = waitMs + (waitMs / 16) + callTimeoutMs;
			const response = await request(url, {dispatcher: this._agent, headersTimeout, signal: options.signal});
			return ok(await this._decode(response, decode));
		} catch (error) {
			// Many calls may fail at once; only the first of them switches to the next URL.
			if (this._baseUrlIndex === baseUrlIndex && options.signal?.aborted !== true) {
				this._baseUrlIndex = (baseUrlIndex + 1) % this._baseUrls.length;
			}

			return err(error as Error);
		}
	}

	private async _readText(body: Dispatcher.ResponseData['body']): Promise<string> {
		const chunks: Uint8Array[] = [];
		let byteCount = 0;
		for await (const chunk of body as AsyncIterable<Uint8Array>) {
			byteCount += chunk.length;
			if (byteCount > maxResponseBytes) {
				throw new Error(`response of the configuration service is larger than ${maxResponseBytes} bytes`);
			}

			chunks.push(chunk);
		}

		return Buffer.concat(chunks).toString('utf8');
	}

	private async _decode<T>(response: Dispatcher.ResponseData, decode: (body: unknown, watchIndex: number) => T): Promise<T> {
		if (response.statusCode !== 200 && response.statusCode !== 404) {
			await response.body.dump();
			throw new Error(`configuration service responded with status ${response.statusCode}`);
		}

		const watchIndex = Number(response.headers['x-consul-index'] ?? 0);
		if (response.statusCode === 404) {
			await response.body.dump();
			return decode(undefined, watchIndex);
		}

		return decode(JSON.parse(await this._readText(response.body)) as unknown, watchIndex);
	}
}
