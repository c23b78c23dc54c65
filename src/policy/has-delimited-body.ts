import {hasNoBody} from '../common/has-no-body.js';

/**
Whether a truncated response can be detected: the response has no body, or one that is delimited by its length or by chunks.
@param method - Method of the request.
@param status - Status of the response.
@param rawHeaders - Headers of the response, as alternating names and values.
*/
export const hasDelimitedBody = (method: string, status: number, rawHeaders: readonly string[]): boolean => {
	if (hasNoBody(method, status)) {
		return true;
	}

	return rawHeaders.some((name, index) => index % 2 === 0 && (name.toLowerCase() === 'content-length'
		|| (name.toLowerCase() === 'transfer-encoding' && (rawHeaders[index + 1] ?? '').toLowerCase().endsWith('chunked'))));
};
