import type {Result} from 'neverthrow';
import type {RequestError} from '../common/request-error.js';
import type {TargetAnswer} from '../io/target-answer.js';
import type {RequestContext} from './request-context.js';

/** One step of the chain that every request passes. */
export type Filter<Context = RequestContext, ChainResponse = TargetAnswer> = {
	/** Name for traces and documents. */
	readonly name: string;
	/** Handles the request, calling `next` for the rest of the chain as often as it needs. */
	handleRequest(context: Context, next: (context: Context) => Promise<Result<ChainResponse, RequestError>>): Promise<Result<ChainResponse, RequestError>>;
};
