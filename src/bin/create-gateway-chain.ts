import type {BufferedResponse} from '../common/gateway/buffered-response.js';
import type {GatewaySettings} from '../common/gateway/gateway-settings.js';
import type {SiteInterface} from '../common/gateway/site-interface.js';
import type {Logger} from '../common/logger.js';
import type {CallerConnections} from '../controllers/caller-connections.js';
import type {ClientConnections} from '../controllers/gateway/client-connections.js';
import {createHedgeSource} from '../controllers/gateway/create-hedge-source.js';
import type {IntakeController} from '../controllers/gateway/intake-controller.js';
import type {PlacementController} from '../controllers/gateway/placement-controller.js';
import type {SiteView} from '../controllers/gateway/site-view.js';
import type {ShutdownController} from '../controllers/shutdown-controller.js';
import type {SocketReadTracker} from '../controllers/socket-read-tracker.js';
import {CallerCheck} from '../filters/caller-check.js';
import {createExceptionHandler} from '../filters/create-exception-handler.js';
import {FilterChain} from '../filters/filter-chain.js';
import {AttemptRunner} from '../filters/gateway/attempt-runner.js';
import {BodyFilter} from '../filters/gateway/body-filter.js';
import {CheckHeadFilter} from '../filters/gateway/check-head-filter.js';
import type {GatewayContext} from '../filters/gateway/gateway-context.js';
import {IntakeFilter} from '../filters/gateway/intake-filter.js';
import {LogFilter} from '../filters/gateway/log-filter.js';
import {MeasureFilter} from '../filters/gateway/measure-filter.js';
import {PipelineFilter} from '../filters/gateway/pipeline-filter.js';
import {RetryFilter} from '../filters/gateway/retry-filter.js';
import {RouteFilter} from '../filters/gateway/route-filter.js';
import {SendResponseFilter} from '../filters/gateway/send-response-filter.js';
import {TimeLimitFilter} from '../filters/gateway/time-limit-filter.js';
import {OutcomeFilter} from '../filters/outcome-filter.js';
import {RefuseDuringShutdownFilter} from '../filters/refuse-during-shutdown-filter.js';
import {ShutdownFilter} from '../filters/shutdown-filter.js';
import {CallerWatch} from '../io/caller-watch.js';
import {RateLimitedLogger} from '../io/gateway/rate-limited-logger.js';
import type {ScrapedMetrics} from '../io/gateway/scraped-metrics.js';
import {systemClock} from '../io/system-clock.js';
import type {ResponseMemory} from '../policy/gateway/response-memory.js';

type GatewayChainOptions = {
	readonly settings: GatewaySettings;
	readonly site: SiteInterface;
	readonly view: SiteView;
	readonly logger: Logger;
	/** Logger for requests that failed, were refused or took more than one attempt. */
	readonly notableLogger: RateLimitedLogger;
	readonly metrics: ScrapedMetrics;
	readonly connections: CallerConnections;
	readonly shutdown: ShutdownController;
	readonly intake: IntakeController;
	readonly placement: PlacementController;
	readonly readTracker: SocketReadTracker;
	readonly clients: ClientConnections;
	readonly responseMemory: ResponseMemory;
};

/** Log lines per second for ordinary requests; each line occupies the event loop for 0.1 ms. */
const ordinaryLinesPerSecond = 5;

/** Creates the chain of filters that every request of a gateway's callers passes. */
export const createGatewayChain = (options: GatewayChainOptions): FilterChain<GatewayContext, BufferedResponse> => {
	const {settings, site, view, logger, notableLogger, metrics, connections, shutdown, intake, placement, readTracker, clients, responseMemory} = options;
	const callerCheck = new CallerCheck({readTracker, clock: systemClock});
	return new FilterChain<GatewayContext, BufferedResponse>([
		new ShutdownFilter({shutdown, connections}),
		new LogFilter({
			notable: notableLogger,
			ordinary: new RateLimitedLogger({logger, clock: systemClock, linesPerSecond: ordinaryLinesPerSecond}),
			view,
			clock: systemClock,
		}),
		new MeasureFilter({metrics, clock: systemClock}),
		new SendResponseFilter(connections),
		new OutcomeFilter(),
		new PipelineFilter(connections),
		new CheckHeadFilter(),
		new RouteFilter(view, Math.random),
		new TimeLimitFilter({clock: systemClock, callerWatch: new CallerWatch(), timeoutHeader: site.headers.timeoutMs}),
		new RefuseDuringShutdownFilter<GatewayContext, BufferedResponse>({shutdown, isIdempotent: ({route}) => route?.isIdempotent ?? false}),
		new BodyFilter({view, clients}),
		new IntakeFilter(intake),
		new RetryFilter({
			placement,
			hedges: createHedgeSource({
				ratio: settings.limits.hedgeRatio, placement, view, clock: systemClock, metrics,
			}),
			runner: new AttemptRunner({
				headers: site.headers, clock: systemClock, callerCheck, responseMemory,
			}),
		}),
	], createExceptionHandler(notableLogger));
};
