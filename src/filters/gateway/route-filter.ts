import {err} from 'neverthrow';
import {ErrorKind} from '../../common/error-kind.js';
import {RequestError} from '../../common/request-error.js';
import type {SiteView} from '../../controllers/gateway/site-view.js';
import {chooseWeightedService} from '../../policy/gateway/choose-weighted-service.js';
import {createShareCounts} from '../../policy/gateway/create-share-counts.js';
import {RouteIndex} from '../../policy/gateway/route-index.js';
import type {GatewayContext} from './gateway-context.js';
import type {GatewayFilter} from './gateway-filter.js';
import type {GatewayNext} from './gateway-next.js';
import type {GatewayResult} from './gateway-result.js';

/** Retry-After while this instance has no configuration, in ms; leaves time to read the configuration, which takes 10 ms. */
const unconfiguredRetryAfterMs = 200;

/** Finds the route of a request and chooses the service that handles it. */
export class RouteFilter implements GatewayFilter {
	private _shareCounts = new Map<string, Map<string, number>>();
	private _routes = new RouteIndex([]);

	constructor(private readonly _view: SiteView, private readonly _random: () => number) {
		_view.onConfiguration(({routes}) => {
			this._routes = new RouteIndex(routes);
			// Counts that were kept under the previous weights would skew the new split.
			this._shareCounts = new Map();
		});
	}

	get name(): string {
		return 'route';
	}

	async handleRequest(context: GatewayContext, next: GatewayNext): GatewayResult {
		const {configuration} = this._view;
		if (configuration === undefined) {
			return err(new RequestError(ErrorKind.NotConfigured, 'this instance has not read a configuration yet', unconfiguredRetryAfterMs));
		}

		const {request} = context;
		const [path = '/'] = (request.url ?? '/').split('?', 1);
		const route = this._routes.findRoute(request.headers.host ?? '', path);
		if (route === undefined) {
			return err(new RequestError(ErrorKind.UnknownService, `configuration version ${configuration.version} has no route for host "${request.headers.host ?? ''}" and the requested path`));
		}

		context.route = route;
		context.service = this._chooseService(route.name, route.shares);
		return next(context);
	}

	private _chooseService(route: string, shares: Parameters<typeof chooseWeightedService>[0]): string {
		const [first] = shares;
		if (shares.length === 1 && first !== undefined) {
			return first.service;
		}

		let counts = this._shareCounts.get(route);
		if (counts === undefined) {
			counts = createShareCounts(shares, this._random);
			this._shareCounts.set(route, counts);
		}

		return chooseWeightedService(shares, counts) ?? '';
	}
}
