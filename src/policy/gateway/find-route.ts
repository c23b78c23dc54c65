import type {GatewayRoute} from '../../common/gateway/gateway-route.js';

/** Finds the route with the longest path prefix among those of a host. */
export const findRoute = (routes: readonly GatewayRoute[], host: string, path: string): GatewayRoute | undefined => {
	const name = host.toLowerCase().replace(/:\d+$/v, '');
	let found: GatewayRoute | undefined;
	for (const route of routes) {
		if (route.host === name && path.startsWith(route.pathPrefix) && route.pathPrefix.length > (found?.pathPrefix.length ?? 0)) {
			found = route;
		}
	}

	return found;
};
