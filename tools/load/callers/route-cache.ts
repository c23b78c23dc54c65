import {request} from 'undici';
import type {RouteResponse} from '../../../src/common/route-response.js';

type CachedRoute = {readonly answer: RouteResponse; readonly expiresAt: number};
type RouteCacheOptions = {
	readonly service: string;
	readonly domain: string;
	readonly routeUrls: readonly string[];
	/** Index of the route listener to fetch from first. */
	readonly firstIndex: number;
};

const fetchTimeoutMs = 2000;

/** Fetches the route of a service, as a caller does, and caches it for its lifetime. */
export class RouteCache {
	private _cachedRoute: CachedRoute | undefined;
	private _pendingFetch: Promise<void> | undefined;
	private _nextIndex: number;

	constructor(private readonly _options: RouteCacheOptions) {
		this._nextIndex = _options.firstIndex;
	}

	/** Gets the cached route, fetching it when missing or expired. An expired route is still returned when fetching fails. */
	async getRoute(): Promise<RouteResponse | undefined> {
		if (this._cachedRoute === undefined || Date.now() >= this._cachedRoute.expiresAt) {
			this._pendingFetch ??= this._fetchRoute();
			await this._pendingFetch;
		}

		return this._cachedRoute?.answer;
	}

	/** Expires the cached route, so that the next use fetches it again. */
	expire(): void {
		this._cachedRoute = this._cachedRoute === undefined ? undefined : {...this._cachedRoute, expiresAt: 0};
	}

	private async _fetchRoute(): Promise<void> {
		for (let attempt = 0; attempt < Math.min(3, this._options.routeUrls.length); attempt++) {
			const url = this._options.routeUrls[this._nextIndex % this._options.routeUrls.length] ?? '';
			try {
				const response = await request(`${url}/routes/${this._options.service}?domain=${this._options.domain}`, {headersTimeout: fetchTimeoutMs, bodyTimeout: fetchTimeoutMs});
				const route = await response.body.json() as RouteResponse;
				if (response.statusCode === 200 && route.addresses.length > 0) {
					this._cachedRoute = {answer: route, expiresAt: Date.now() + route.lifetimeMs};
					break;
				}
			} catch {
				// The next attempt uses the next listener.
			}

			this._nextIndex++;
		}

		this._pendingFetch = undefined;
	}
}
