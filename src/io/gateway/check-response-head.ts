import type {BufferedResponse} from '../../common/gateway/buffered-response.js';
import {findHeader} from '../../policy/gateway/find-header.js';
import {findInvalidHeader} from './find-invalid-header.js';

/** Statuses whose responses must not have a body (RFC 9110, sections 15.3.5 and 15.3.6); a target that sends one did not mean this status. */
const emptyStatuses = new Set([204, 205]);
/** Final statuses (RFC 9110, section 15). */
const minFinalStatus = 200;
const maxFinalStatus = 599;

/**
Checks that the head of a target's response can be passed on.
@returns What is wrong with the head; undefined when it is valid.
*/
export const checkResponseHead = ({status, rawHeaders}: Pick<BufferedResponse, 'status' | 'rawHeaders'>): string | undefined => {
	if (status < minFinalStatus || status > maxFinalStatus) {
		return `the status ${status} is not one of a final response`;
	}

	if (emptyStatuses.has(status) && ((findHeader(rawHeaders, 'content-length') ?? '0') !== '0' || findHeader(rawHeaders, 'transfer-encoding') !== undefined)) {
		return `a response with status ${status} must not have a body`;
	}

	return findInvalidHeader(rawHeaders);
};
