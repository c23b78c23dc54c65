import type {Result} from 'neverthrow';
import type {BufferedResponse} from '../../common/gateway/buffered-response.js';
import type {RequestError} from '../../common/request-error.js';

/** Result of a filter: a target's complete response, or an error that the gateway reports to the caller itself. */
export type GatewayResult = Promise<Result<BufferedResponse, RequestError>>;
