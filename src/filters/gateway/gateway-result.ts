import type {Result} from 'neverthrow';
import type {WholeAnswer} from '../../common/gateway/whole-answer.js';
import type {RequestError} from '../../common/request-error.js';

/** What a filter makes of a request: a target's whole answer, or an error that the gateway answers itself. */
export type GatewayResult = Promise<Result<WholeAnswer, RequestError>>;
