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
const kvAnswerSchema = z.array(kvEntrySchema);
const keysAnswerSchema = z.array(z.string());

type WatchOptions = {
	/** Index of the last answer; the service answers when it has a newer one. 0 answers at once. */
	readonly index?: number;
	/** Longest time for which the service holds the call, in ms. */
	readonly waitMs?: number;
	readonly signal?: AbortSignal;
};

const maxAnswerBytes = 4_194_304;
const callTimeoutMs = 2000;

/**
Reads and watches the configuration service by blocking queries, as Consul publishes them for its key-value store
(`GET /v1/kv/<key>?index=N&wait=Nms`, index in the header `X-Consul-Index`). It never writes.
*/
export class PlatformClient implements DisposableLike {
	private readonly _agent = new Agent({connections: 512, bodyTimeout: callTimeoutMs});

	private _preferred = 0;

	/** @param _baseUrls - Base URLs of the service; the next one is used after a failed call. */
	constructor(private readonly _baseUrls: readonly string[]) {}

	/** Reads one key, or waits for its next change. */
	async readValue(key: string, options: WatchOptions = {}): Promise<Result<PlatformValue, Error>> {
		return this._call(`/v1/kv/${key}`, options, (answer, watchIndex) => {
			const entry = answer === undefined ? undefined : kvAnswerSchema.parse(answer)[0];
			const text = entry === undefined ? undefined : Buffer.from(entry.Value ?? '', 'base64').toString('utf8');
			return {
				key, text, modifyIndex: entry?.ModifyIndex ?? 0, watchIndex,
			};
		});
	}

	/** Lists the keys below a prefix, or waits for the next change below it. */
	async listKeys(prefix: string, options: WatchOptions = {}): Promise<Result<{readonly keys: readonly string[]; readonly watchIndex: number}, Error>> {
		return this._call(`/v1/kv/${prefix}?keys=true`, options, (answer, watchIndex) => ({keys: answer === undefined ? [] : keysAnswerSchema.parse(answer), watchIndex}));
	}

	dispose(): void {
		void this._agent.destroy();
	}

	private async _call<T>(path: string, options: WatchOptions, decode: (answer: unknown, watchIndex: number) => T): Promise<Result<T, Error>> {
		const waitMs = options.index === undefined ? 0 : options.waitMs ?? 0;
		const preferred = this._preferred;
		const url = new URL(path, this._baseUrls[preferred]);
		if (options.index !== undefined) {
			url.searchParams.set('index', String(options.index));
			url.searchParams.set('wait', `${waitMs}ms`);
		}

		try {
			// The service adds up to a sixteenth of the wait at random, as Consul does.
			const headersTimeout = waitMs + (waitMs / 16) + callTimeoutMs;
			const answer = await request(url, {dispatcher: this._agent, headersTimeout, signal: options.signal});
			return ok(await this._decode(answer, decode));
		} catch (error) {
			// Many calls may fail at once; only the first moves on to the next URL.
			if (this._preferred === preferred && options.signal?.aborted !== true) {
				this._preferred = (preferred + 1) % this._baseUrls.length;
			}

			return err(error as Error);
		}
	}

	private async _decode<T>(answer: Dispatcher.ResponseData, decode: (answer: unknown, watchIndex: number) => T): Promise<T> {
		if (answer.statusCode !== 200 && answer.statusCode !== 404) {
			await answer.body.dump();
			throw new Error(`configuration service answered ${answer.statusCode}`);
		}

		const watchIndex = Number(answer.headers['x-consul-index'] ?? 0);
		if (answer.statusCode === 404) {
			await answer.body.dump();
			return decode(undefined, watchIndex);
		}

		if (Number(answer.headers['content-length'] ?? 0) > maxAnswerBytes) {
			throw new Error(`answer of the configuration service is larger than ${maxAnswerBytes} bytes`);
		}

		return decode(await answer.body.json(), watchIndex);
	}
}
