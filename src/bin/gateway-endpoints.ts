import {Buffer} from 'node:buffer';
import process from 'node:process';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {fromPromise, type Result} from 'neverthrow';
import type {GatewaySettings} from '../common/gateway/gateway-settings.js';
import type {SiteInterface} from '../common/gateway/site-interface.js';
import type {Logger} from '../common/logger.js';
import type {ClientConnections} from '../controllers/gateway/client-connections.js';
import type {EntryController} from '../controllers/gateway/entry-controller.js';
import type {IntakeController} from '../controllers/gateway/intake-controller.js';
import type {PlacementController} from '../controllers/gateway/placement-controller.js';
import {PlacementExplainer} from '../controllers/gateway/placement-explainer.js';
import type {SiteView} from '../controllers/gateway/site-view.js';
import type {ShutdownController} from '../controllers/shutdown-controller.js';
import {parseRequestTarget} from '../policy/parse-request-target.js';
import {renderMetrics} from '../io/gateway/render-metrics.js';
import type {ScrapedMetrics} from '../io/gateway/scraped-metrics.js';
import {systemClock} from '../io/system-clock.js';
import type {ResponseMemory} from '../policy/gateway/response-memory.js';
import {PlaceEndpoint} from './place-endpoint.js';

type GatewayEndpointsOptions = {
	readonly site: SiteInterface;
	readonly view: SiteView;
	readonly entries: EntryController;
	readonly metrics: ScrapedMetrics;
	readonly logger: Logger;
	/** Whether the instance accepts callers. */
	readonly isServing: () => boolean;
	/** Instance that the endpoints describe. */
	readonly instance: GatewaySettings['instance'];
	readonly placement: PlacementController;
	readonly shutdown: ShutdownController;
	readonly clients: ClientConnections;
	readonly intake: IntakeController;
	readonly responseMemory: ResponseMemory;
};

const placePath = '/place';

/** Answers what is asked about a gateway itself: whether it is ready, which addresses callers should use, and its metrics. */
export class GatewayEndpoints {
	private _rendering: Promise<Result<Uint8Array, Error>> | undefined;

	private readonly _place: PlaceEndpoint;

	constructor(private readonly _options: GatewayEndpointsOptions) {
		this._place = new PlaceEndpoint(new PlacementExplainer({..._options, clock: systemClock}));
	}

	handleReadiness(request: IncomingMessage, response: ServerResponse): void {
		const {site, isServing} = this._options;
		const isReadinessPath = parseRequestTarget(request.url ?? '/').path === site.readinessPath;
		response.writeHead(isReadinessPath ? (isServing() ? 200 : 503) : 404, {'content-length': 0});
		response.end();
	}

	handleResolve(request: IncomingMessage, response: ServerResponse): void {
		const {site, entries} = this._options;
		const resolveRequest = site.parseResolveRequest(request.url ?? '/');
		const resolveResponse = resolveRequest === undefined ? undefined : entries.resolve(resolveRequest);
		if (resolveResponse === undefined || resolveResponse.addresses.length === 0) {
			response.writeHead(resolveRequest === undefined ? 404 : 503, {'content-length': 0});
			response.end();
			return;
		}

		const body = site.formatResolveResponse(resolveResponse);
		response.writeHead(200, {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)});
		response.end(body);
	}

	/** Handles a request to the address of the metrics: a dry run on the path `/place`, the metrics on any other. */
	async handleOperator(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const {path, query} = parseRequestTarget(request.url ?? '/');
		if (path === placePath) {
			this._place.handle(request, query, response);
		} else {
			await this._handleMetrics(response);
		}
	}

	private async _handleMetrics(response: ServerResponse): Promise<void> {
		const rendered = await this._renderMetrics();
		if (rendered.isErr()) {
			this._options.logger.logError('metrics-failed', {detail: rendered.error.message});
			response.writeHead(500, {'content-length': 0});
			response.end();
			return;
		}

		const body = rendered.value;
		response.writeHead(200, {'content-type': 'text/plain; version=0.0.4; charset=utf-8', 'content-length': body.length});
		response.end(body);
	}

	/** Renders the metrics once for all requests that arrive meanwhile. Each rendering takes heap, which many pipelined requests would use up. */
	private async _renderMetrics(): Promise<Result<Uint8Array, Error>> {
		this._rendering ??= this._startRendering();
		try {
			return await this._rendering;
		} finally {
			this._rendering = undefined;
		}
	}

	private async _startRendering(): Promise<Result<Uint8Array, Error>> {
		const {view, metrics, placement, clients, intake, responseMemory} = this._options;
		const {version} = view;
		placement.recordGauges();
		clients.recordGauges();
		metrics.recordGauge('intake.waiting', intake.waitingCount);
		metrics.recordGauge('response.held_bytes', responseMemory.heldBytes);
		metrics.recordGauge('configuration.version', version.configuration);
		metrics.recordGauge('configuration.age_ms', version.configurationAgeMs);
		metrics.recordGauge('targets.age_ms', version.targetsAgeMs);
		metrics.recordGauge('process.memory', process.memoryUsage.rss());
		const rendered = await fromPromise(renderMetrics(metrics.series), error => error as Error);
		return rendered.map(text => Buffer.from(text));
	}
}
