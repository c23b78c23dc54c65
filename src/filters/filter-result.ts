import type {Result} from 'neverthrow';
import type {RequestError} from '../common/request-error.js';
import type {TargetAnswer} from '../io/target-answer.js';

/** What a filter makes of a request: the head of a target's answer, or an error that the system answers itself. */
export type FilterResult = Promise<Result<TargetAnswer, RequestError>>;
