import {err, ok, type Result} from 'neverthrow';
import type {Clock} from '../../common/clock.js';
import {ErrorKind} from '../../common/error-kind.js';
import type {GatewayConfiguration} from '../../common/gateway/gateway-configuration.js';
import type {GatewayRoute} from '../../common/gateway/gateway-route.js';
import type {GatewaySettings} from '../../common/gateway/gateway-settings.js';
import type {PlacementExplanation} from '../../common/gateway/placement-explanation.js';
import type {PlacementQuestion} from '../../common/gateway/placement-question.js';
import {RequestError} from '../../common/request-error.js';
import {findShutdownRefusal} from '../../policy/find-shutdown-refusal.js';
import {describeRefusal} from '../../policy/gateway/describe-refusal.js';
import {RouteIndex} from '../../policy/gateway/route-index.js';
import type {ShutdownController} from '../shutdown-controller.js';
import type {ClientConnections} from './client-connections.js';
import type {PlacementController} from './placement-controller.js';
import type {SiteView} from './site-view.js';

type PlacementExplainerOptions = {
	readonly instance: Pick<GatewaySettings['instance'], 'id' | 'failureDomain'>;
	readonly view: Pick<SiteView, 'configuration' | 'configurationAgeMs' | 'targetsAgeMs'>;
	readonly placement: Pick<PlacementController, 'explain'>;
	readonly shutdown: Pick<ShutdownController, 'isAcceptingRequests' | 'abortAt'>;
	readonly clients: Pick<ClientConnections, 'totalFreeBytes'>;
	readonly clock: Clock;
};

/** Explains where this instance would send a request that arrives now, from its present state and without changing it. */
export class PlacementExplainer {
	private _configuration: GatewayConfiguration | undefined;
	private _routes = new RouteIndex([]);

	constructor(private readonly _options: PlacementExplainerOptions) {}

	/** Explains the placement of a request; an error when no route matches it. */
	explain(question: PlacementQuestion): Result<PlacementExplanation, RequestError> {
		const {instance, view, placement, clock} = this._options;
		const {configuration} = view;
		if (configuration === undefined) {
			return err(new RequestError(ErrorKind.NotConfigured, 'this instance has not read a configuration yet'));
		}

		const [path = '/'] = question.path.split('?', 1);
		const route = this._indexRoutes(configuration).findRoute(question.host, path);
		if (route === undefined) {
			return err(new RequestError(ErrorKind.UnknownService, `configuration version ${configuration.version} has no route for host "${question.host}" and path "${path}"`));
		}

		const {name, host, pathPrefix, objectiveMs, timeoutMs, priority, shares} = route;
		const now = clock.now();
		const weightSum = shares.reduce((sum, {weight}) => sum + weight, 0);
		const refusal = this._findRefusal(configuration, route, question.bodyBytes, now + timeoutMs);
		return ok({
			instance: {id: instance.id, failureDomain: instance.failureDomain},
			request: question,
			configuration: {version: configuration.version, ageMs: view.configurationAgeMs},
			targetsAgeMs: view.targetsAgeMs,
			route: {
				name, host, pathPrefix, objectiveMs, timeoutMs, priority,
			},
			refusal: refusal && describeRefusal(refusal),
			services: shares.flatMap(({service, weight}) => placement.explain({
				service, priority, objectiveAt: now + objectiveMs, deadlineAt: now + timeoutMs, excludedTargets: [], bodyBytes: question.bodyBytes,
			}, weight / weightSum) ?? []),
		});
	}

	/** Finds the reason for which the request would be refused before a target is looked for. */
	private _findRefusal({limits}: GatewayConfiguration, {isIdempotent}: GatewayRoute, bodyBytes: number, deadlineAt: number): RequestError | undefined {
		const {shutdown, clients} = this._options;
		const shutdownRefusal = findShutdownRefusal(shutdown, deadlineAt, isIdempotent);
		if (shutdownRefusal !== undefined) {
			return shutdownRefusal;
		}

		if (bodyBytes > limits.bodyBytes) {
			return new RequestError(ErrorKind.BodyTooLarge, `the body has more than ${limits.bodyBytes} bytes`);
		}

		return bodyBytes > 0 && bodyBytes > clients.totalFreeBytes
			? new RequestError(ErrorKind.Overloaded, 'the requests in progress take all the memory that they may; this body does not fit unless stalled connections are closed')
			: undefined;
	}

	private _indexRoutes(configuration: GatewayConfiguration): RouteIndex {
		if (configuration !== this._configuration) {
			this._configuration = configuration;
			this._routes = new RouteIndex(configuration.routes);
		}

		return this._routes;
	}
}
