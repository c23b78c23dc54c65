import {request} from 'undici';
import type {RouteAnswer} from '../../../src/common/route-answer.js';

type CachedRoute = {readonly answer: RouteAnswer; readonly validUntil: number};
type RouteCacheOptions = {
	readonly service: string;
	readonly domain: string;
	readonly routeUrls: readonly string[];
	/** Index of the route listener that is asked first. */
	readonly first: number;
};

const askTimeoutMs = 2000;

/** Asks which addresses to use, as a caller does, and keeps the answer for its lifetime. */
export class RouteCache {
	private _route: CachedRoute | undefined;
	private _asking: Promise<void> | undefined;
	private _next: number;

	constructor(private readonly _options: RouteCacheOptions) {
		this._next = _options.first;
	}

	/** Gets the answer in use; an expired one is still used while no new one can be had. */
	async getAnswer(): Promise<RouteAnswer | undefined> {
		if (this._route === undefined || Date.now() >= this._route.validUntil) {
			this._asking ??= this._ask();
			await this._asking;
		}

		return this._route?.answer;
	}

	/** Asks again before the next use. */
	clear(): void {
		this._route = this._route === undefined ? undefined : {...this._route, validUntil: 0};
	}

	private async _ask(): Promise<void> {
		for (let tries = 0; tries < Math.min(3, this._options.routeUrls.length); tries++) {
			const url = this._options.routeUrls[this._next % this._options.routeUrls.length] ?? '';
			try {
				const asked = await request(`${url}/routes/${this._options.service}?domain=${this._options.domain}`, {headersTimeout: askTimeoutMs, bodyTimeout: askTimeoutMs});
				const answer = await asked.body.json() as RouteAnswer;
				if (asked.statusCode === 200 && answer.addresses.length > 0) {
					this._route = {answer, validUntil: Date.now() + answer.lifetimeMs};
					break;
				}
			} catch {
				// The next listener is asked.
			}

			this._next++;
		}

		this._asking = undefined;
	}
}
