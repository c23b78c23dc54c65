import type {GatewayRoute} from '../../common/gateway/gateway-route.js';

/** Finds the route of a request by host and path prefix, in a time that does not depend on the number of routes. */
export class RouteIndex {
	private readonly _routesByHost = new Map<string, Map<string, GatewayRoute>>();

	constructor(routes: readonly GatewayRoute[]) {
		for (const route of routes) {
			const routesByPrefix = this._routesByHost.get(route.host) ?? new Map<string, GatewayRoute>();
			this._routesByHost.set(route.host, routesByPrefix);
			// Of two routes with the same prefix, the first takes precedence.
			if (!routesByPrefix.has(route.pathPrefix)) {
				routesByPrefix.set(route.pathPrefix, route);
			}
		}
	}

	/** Finds the route of a host with the longest matching path prefix; undefined when none matches. Every prefix ends with a slash. */
	findRoute(host: string, path: string): GatewayRoute | undefined {
		const routesByPrefix = this._routesByHost.get(host.toLowerCase().replace(/:\d+$/v, ''));
		if (routesByPrefix === undefined) {
			return undefined;
		}

		for (let end = path.lastIndexOf('/'); end >= 0; end = end === 0 ? -1 : path.lastIndexOf('/', end - 1)) {
			const route = routesByPrefix.get(path.slice(0, end + 1));
			if (route !== undefined) {
				return route;
			}
		}

		return undefined;
	}
}
