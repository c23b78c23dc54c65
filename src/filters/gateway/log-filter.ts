import type {Result} from 'neverthrow';
import type {Clock} from '../../common/clock.js';
import type {BufferedResponse} from '../../common/gateway/buffered-response.js';
import type {Logger} from '../../common/logger.js';
import type {RequestError} from '../../common/request-error.js';
import type {SiteView} from '../../controllers/gateway/site-view.js';
import type {GatewayContext} from './gateway-context.js';
import type {GatewayFilter} from './gateway-filter.js';
import type {GatewayNext} from './gateway-next.js';
import type {GatewayResult} from './gateway-result.js';

type LogFilterOptions = {
	/** Receives requests that failed, were refused or took more than one attempt. */
	readonly notable: Logger;
	/** Receives all other requests. */
	readonly ordinary: Logger;
	readonly view: SiteView;
	readonly clock: Clock;
};

const firstServerError = 500;

/** Writes one log line per request with the data that its result can be explained from. */
export class LogFilter implements GatewayFilter {
	constructor(private readonly _options: LogFilterOptions) {}

	get name(): string {
		return 'log';
	}

	async handleRequest(context: GatewayContext, next: GatewayNext): GatewayResult {
		const result = await next(context);
		const isOrdinary = result.isOk() && result.value.status < firstServerError && context.attempts.length === 1;
		const {notable, ordinary} = this._options;
		const logger = isOrdinary ? ordinary : notable;
		logger.logInfo(isOrdinary ? 'request-answered' : 'request-explained', this._createLogFields(context, result));
		return result;
	}

	private _createLogFields(context: GatewayContext, result: Result<BufferedResponse, RequestError>): Record<string, unknown> {
		const {view, clock} = this._options;
		const resultFields = result.isOk()
			? {status: result.value.status}
			: {error: result.error.kind, detail: result.error.detail, ...(result.error.retryAfterMs !== undefined && {retryAfterMs: Math.round(result.error.retryAfterMs)})};
		return {
			request: context.requestId,
			route: context.route?.name,
			service: context.service,
			...resultFields,
			outcome: context.ledger.outcome,
			tookMs: Math.round(clock.now() - context.receivedAt),
			timeLeftMs: Math.round(context.deadlineAt - clock.now()),
			...(context.callerLeftAt !== undefined && {callerLeftMs: Math.round(context.callerLeftAt - context.receivedAt)}),
			attempts: context.attempts,
			configurationVersion: view.version.configuration,
			targetsAgeMs: view.version.targetsAgeMs,
		};
	}
}
