import {err} from 'neverthrow';
import type {Clock} from '../common/clock.js';
import {ErrorKind} from '../common/error-kind.js';
import {ExchangeEnd} from '../common/exchange-end.js';
import {RequestError} from '../common/request-error.js';
import type {PauseController} from '../controllers/pause-controller.js';
import type {FilterResult} from './filter-result.js';
import type {Filter} from './filter.js';
import type {NextFilter} from './next-filter.js';
import type {RequestContext} from './request-context.js';

type PauseFilterOptions = {
	readonly pauseController: PauseController;
	readonly clock: Clock;
};

/** After a pause of the process, delays requests that must not run twice until the view of the fleet is up to date; refuses requests that have been aborted or have expired. */
export class PauseFilter implements Filter {
	constructor(private readonly _options: PauseFilterOptions) {}

	get name(): string {
		return 'pause';
	}

	async handleRequest(context: RequestContext, next: NextFilter): FilterResult {
		if (context.rule?.idempotent === false) {
			await this._options.pauseController.waitForFreshView();
		}

		// After a pause of the process, a request can get here before its deadline timer fires.
		if (context.signal.aborted || this._options.clock.now() >= context.deadlineAt) {
			context.lease?.release(ExchangeEnd.Unused);
			return err(context.signal.aborted ? context.signal.reason as RequestError : new RequestError(ErrorKind.DeadlineExpiredQueued, 'the deadline expired before dispatch'));
		}

		return next(context);
	}
}
