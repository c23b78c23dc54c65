import type {BufferedResponse} from '../../common/gateway/buffered-response.js';
import {findInvalidHeader} from './find-invalid-header.js';

/** Final statuses (RFC 9110, section 15). */
const minFinalStatus = 200;
const maxFinalStatus = 599;

/**
Checks that the head of a target's response can be passed on.
@returns What is wrong with the head; undefined when it is valid.
*/
export const checkResponseHead = ({status, rawHeaders}: Pick<BufferedResponse, 'status' | 'rawHeaders'>): string | undefined =>
	status < minFinalStatus || status > maxFinalStatus ? `the status ${status} is not one of a final response` : findInvalidHeader(rawHeaders);
