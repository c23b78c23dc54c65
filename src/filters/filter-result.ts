import type {Result} from 'neverthrow';
import type {RequestError} from '../common/request-error.js';
import type {TargetResponse} from '../io/target-response.js';

/** Result of a filter: a target's response, whose body may still be arriving, or an error that the instance reports to the caller itself. */
export type FilterResult = Promise<Result<TargetResponse, RequestError>>;
