import {randomUUID} from 'node:crypto';
import {Agent, request} from 'undici';
import type {RouteAnswer} from '../../src/common/route-answer.js';
import type {Told} from './told.js';

type CallerOptions = {
	readonly service: string;
	/** Ports of entry instances that answer which addresses to use. */
	readonly routePorts: readonly number[];
};

type SendOptions = {
	readonly method?: 'GET' | 'POST';
	readonly headers?: Readonly<Record<string, string>>;
	/** Name of the request for the targets' ledgers; a new one when undefined. */
	readonly requestId?: string;
	/** Path; one of the request's own when undefined. */
	readonly path?: string;
	/** Entry that failed before and is not asked again, where the route answer names another. */
	readonly avoid?: string;
	/** Entry to use, as host and port; the one of the route answer when undefined. */
	readonly entry?: string;
};

type Body = {readonly requestId?: string; readonly outcome?: string; readonly type?: string};

const readBody = (text: string): Body => {
	try {
		return JSON.parse(text) as Body;
	} catch {
		return {};
	}
};

/** A caller that asks which address to use, keeps the answer for its lifetime and records what it was told. */
export class Caller {
	readonly told: Told[] = [];
	private readonly _agent = new Agent({headersTimeout: 15_000, bodyTimeout: 15_000});
	private _route: RouteAnswer | undefined;
	private _expiresAt = 0;
	private _turn = 0;

	constructor(private readonly _options: CallerOptions) {}

	/** Sends one request and records what came of it. */
	async send({method = 'GET', headers = {}, entry, path, avoid, requestId = randomUUID()}: SendOptions = {}): Promise<Told> {
		const address = entry ?? await this._chooseEntry(avoid);
		const told = await this._exchange({
			requestId, method, entry: address, sentAt: Date.now(),
		}, path ?? `/bookings/${requestId}`, headers);
		this.told.push(told);
		return told;
	}

	async close(): Promise<void> {
		await this._agent.destroy();
	}

	private async _exchange(base: Pick<Told, 'requestId' | 'entry' | 'sentAt'> & {method: 'GET' | 'POST'}, path: string, headers: Readonly<Record<string, string>>): Promise<Told> {
		try {
			const answer = await request(`http://${base.entry}${path}`, {
				method: base.method,
				headers: {host: this._options.service, 'x-request-id': base.requestId, ...headers},
				body: base.method === 'POST' ? 'headpiece=12' : undefined,
				dispatcher: this._agent,
			});
			const body = readBody(await answer.body.text());
			return {
				...base, status: answer.statusCode, outcome: body.outcome, answeredId: body.requestId, error: undefined, kind: body.type?.split(':').at(-1), endedAt: Date.now(),
			};
		} catch (error) {
			return {
				...base, status: 0, outcome: undefined, answeredId: undefined, error: (error as Error).message, kind: undefined, endedAt: Date.now(),
			};
		}
	}

	private async _chooseEntry(avoid: string | undefined): Promise<string> {
		if (this._route === undefined || Date.now() >= this._expiresAt) {
			await this._askRoute();
		}

		const named = (this._route?.addresses ?? []).map(({host, port}) => `${host}:${port}`);
		const others = named.filter(address => address !== avoid);
		const usable = others.length === 0 ? named : others;
		this._turn++;
		return usable[this._turn % Math.max(1, usable.length)] ?? '';
	}

	private async _askRoute(): Promise<void> {
		for (const port of this._options.routePorts) {
			try {
				const answer = await request(`http://127.0.0.1:${port}/routes/${this._options.service}`, {dispatcher: this._agent, headersTimeout: 500});
				const route = await answer.body.json() as RouteAnswer;
				if (answer.statusCode === 200 && route.addresses.length > 0) {
					this._route = route;
					this._expiresAt = Date.now() + route.lifetimeMs;
					return;
				}
			} catch {
				// The next entry is asked.
			}
		}
	}
}
