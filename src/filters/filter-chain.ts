import {err} from 'neverthrow';
import {ErrorKind} from '../common/error-kind.js';
import {RequestError} from '../common/request-error.js';
import type {FilterResult} from './filter-result.js';
import type {Filter} from './filter.js';
import type {RequestContext} from './request-context.js';

/** Runs the filters in order; an exception of a filter becomes an internal error with an honest outcome. */
export class FilterChain {
	constructor(private readonly _filters: readonly Filter[]) {}

	/** Names of the filters in the order in which a request passes them. */
	get names(): readonly string[] {
		return this._filters.map(filter => filter.name);
	}

	async run(context: RequestContext): FilterResult {
		try {
			return await this._runFrom(0, context);
		} catch (error) {
			const kind = context.isDispatched ? ErrorKind.InternalDispatched : ErrorKind.InternalQueued;
			return err(new RequestError(kind, (error as Error).message));
		}
	}

	private async _runFrom(index: number, context: RequestContext): FilterResult {
		const filter = this._filters[index];
		if (filter === undefined) {
			return err(new RequestError(ErrorKind.InternalQueued, 'the filter chain ended without an answer'));
		}

		return filter.handleRequest(context, async nextContext => this._runFrom(index + 1, nextContext));
	}
}
