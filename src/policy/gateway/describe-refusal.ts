import {errorResponses} from '../../common/error-responses.js';
import type {ExplainedRefusal} from '../../common/gateway/explained-refusal.js';
import type {RequestError} from '../../common/request-error.js';

/** Describes the error response that a request would get. */
export const describeRefusal = ({kind, detail, retryAfterMs}: RequestError): ExplainedRefusal => ({
	kind, status: errorResponses[kind].status, detail, retryAfterMs,
});
