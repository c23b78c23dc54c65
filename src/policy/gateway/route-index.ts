import type {GatewayRoute} from '../../common/gateway/gateway-route.js';

/** Finds the route of a request in a time that does not grow with the number of routes. */
export class RouteIndex {
	private readonly _hosts = new Map<string, Map<string, GatewayRoute>>();

	constructor(routes: readonly GatewayRoute[]) {
		for (const route of routes) {
			const prefixes = this._hosts.get(route.host) ?? new Map<string, GatewayRoute>();
			this._hosts.set(route.host, prefixes);
			// Of two routes with one prefix the first holds.
			if (!prefixes.has(route.pathPrefix)) {
				prefixes.set(route.pathPrefix, route);
			}
		}
	}

	/** Finds the route with the longest path prefix among those of a host; every prefix ends with a slash. */
	findRoute(host: string, path: string): GatewayRoute | undefined {
		const prefixes = this._hosts.get(host.toLowerCase().replace(/:\d+$/v, ''));
		if (prefixes === undefined) {
			return undefined;
		}

		for (let end = path.lastIndexOf('/'); end >= 0; end = end === 0 ? -1 : path.lastIndexOf('/', end - 1)) {
			const route = prefixes.get(path.slice(0, end + 1));
			if (route !== undefined) {
				return route;
			}
		}

		return undefined;
	}
}
