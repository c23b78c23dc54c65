import {err, type Result} from 'neverthrow';
import {ErrorKind} from '../common/error-kind.js';
import {RequestError} from '../common/request-error.js';
import {describeFailure} from '../io/describe-failure.js';
import type {TargetResponse} from '../io/target-response.js';
import type {Filter} from './filter.js';
import type {RequestContext} from './request-context.js';

/** Runs the filters in order; an exception thrown by a filter becomes an internal error that states whether the request may have run. */
export class FilterChain<Context extends {readonly isDispatched: boolean} = RequestContext, ChainResponse = TargetResponse> {
	/**
	@param _filters - The filters, in the order in which a request passes through them.
	@param _handleException - Ends a request when an exception has passed all filters, so that none of them has responded.
	*/
	constructor(private readonly _filters: ReadonlyArray<Filter<Context, ChainResponse>>, private readonly _handleException: (context: Context, error: RequestError) => void) {}

	/** Names of the filters, in the order in which a request passes through them. */
	get names(): readonly string[] {
		return this._filters.map(filter => filter.name);
	}

	async run(context: Context): Promise<Result<ChainResponse, RequestError>> {
		try {
			return await this._runFrom(0, context);
		} catch (error) {
			const kind = context.isDispatched ? ErrorKind.InternalDispatched : ErrorKind.InternalQueued;
			const internalError = new RequestError(kind, describeFailure(error).detail);
			this._handleException(context, internalError);
			return err(internalError);
		}
	}

	private async _runFrom(index: number, context: Context): Promise<Result<ChainResponse, RequestError>> {
		const filter = this._filters[index];
		if (filter === undefined) {
			return err(new RequestError(ErrorKind.InternalQueued, 'the filter chain ended without a response'));
		}

		return filter.handleRequest(context, async nextContext => this._runFrom(index + 1, nextContext));
	}
}
