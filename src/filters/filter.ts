import type {Result} from 'neverthrow';
import type {RequestError} from '../common/request-error.js';
import type {TargetResponse} from '../io/target-response.js';
import type {RequestContext} from './request-context.js';

/** One step of the filter chain that handles every request. */
export type Filter<Context = RequestContext, ChainResponse = TargetResponse> = {
	/** Name of the filter in logs and documentation. */
	readonly name: string;
	/** Handles the request; calls `next` to run the rest of the chain, once, several times or not at all. */
	handleRequest(context: Context, next: (context: Context) => Promise<Result<ChainResponse, RequestError>>): Promise<Result<ChainResponse, RequestError>>;
};
