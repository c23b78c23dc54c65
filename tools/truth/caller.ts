import {randomUUID} from 'node:crypto';
import {Agent, request} from 'undici';
import type {RouteResponse} from '../../src/common/route-response.js';
import type {CallRecord} from './call-record.js';

type CallerOptions = {
	readonly service: string;
	/** Route listener ports of entry instances, on loopback. */
	readonly routePorts: readonly number[];
};

type SendOptions = {
	readonly method?: 'GET' | 'POST';
	readonly headers?: Readonly<Record<string, string>>;
	/** Id of the request in the targets' ledgers; a new one when undefined. */
	readonly requestId?: string;
	/** Path; one that contains the request id when undefined. */
	readonly path?: string;
	/** Entry, as host and port, that is not used where the route response lists another. */
	readonly avoid?: string;
	/** Entry to use, as host and port; chosen from the route response when undefined. */
	readonly entry?: string;
};

type ResponseBody = {readonly requestId?: string; readonly outcome?: string; readonly type?: string};

const parseBody = (text: string): ResponseBody => {
	try {
		return JSON.parse(text) as ResponseBody;
	} catch {
		return {};
	}
};

/** A caller that resolves entry addresses, caches them for their lifetime and records the outcome of each request. */
export class Caller {
	/** Requests that have ended, in the order in which they ended. */
	readonly records: CallRecord[] = [];
	private readonly _agent = new Agent({headersTimeout: 15_000, bodyTimeout: 15_000});
	private _route: RouteResponse | undefined;
	private _expiresAt = 0;
	private _roundRobinIndex = 0;

	constructor(private readonly _options: CallerOptions) {}

	/** Sends one request and records its outcome; never rejects because of a transport error. */
	async send({method = 'GET', headers = {}, entry, path, avoid, requestId = randomUUID()}: SendOptions = {}): Promise<CallRecord> {
		const address = entry ?? await this._chooseEntry(avoid);
		const record = await this._sendTo({
			requestId, method, entry: address, sentAt: Date.now(),
		}, path ?? `/bookings/${requestId}`, headers);
		this.records.push(record);
		return record;
	}

	/** Closes all connections; open requests fail. */
	async close(): Promise<void> {
		await this._agent.destroy();
	}

	private async _sendTo(call: Pick<CallRecord, 'requestId' | 'entry' | 'sentAt'> & {method: 'GET' | 'POST'}, path: string, headers: Readonly<Record<string, string>>): Promise<CallRecord> {
		try {
			const response = await request(`http://${call.entry}${path}`, {
				method: call.method,
				headers: {host: this._options.service, 'x-request-id': call.requestId, ...headers},
				body: call.method === 'POST' ? 'headpiece=12' : undefined,
				dispatcher: this._agent,
			});
			const body = parseBody(await response.body.text());
			return {
				...call, status: response.statusCode, outcome: body.outcome, responseRequestId: body.requestId, error: undefined, kind: body.type?.split(':').at(-1), endedAt: Date.now(),
			};
		} catch (error) {
			return {
				...call, status: 0, outcome: undefined, responseRequestId: undefined, error: (error as Error).message, kind: undefined, endedAt: Date.now(),
			};
		}
	}

	private async _chooseEntry(avoid: string | undefined): Promise<string> {
		if (this._route === undefined || Date.now() >= this._expiresAt) {
			await this._fetchRoute();
		}

		const addresses = (this._route?.addresses ?? []).map(({host, port}) => `${host}:${port}`);
		const otherAddresses = addresses.filter(address => address !== avoid);
		const candidates = otherAddresses.length === 0 ? addresses : otherAddresses;
		this._roundRobinIndex++;
		return candidates[this._roundRobinIndex % Math.max(1, candidates.length)] ?? '';
	}

	private async _fetchRoute(): Promise<void> {
		for (const port of this._options.routePorts) {
			try {
				const response = await request(`http://127.0.0.1:${port}/routes/${this._options.service}`, {dispatcher: this._agent, headersTimeout: 500});
				const route = await response.body.json() as RouteResponse;
				if (response.statusCode === 200 && route.addresses.length > 0) {
					this._route = route;
					this._expiresAt = Date.now() + route.lifetimeMs;
					return;
				}
			} catch {
				// Falls through to the next instance.
			}
		}
	}
}
