import type {ResponseVerdict} from '../../common/gateway/response-verdict.js';
import {AttemptEnd} from '../../common/gateway/attempt-end.js';
import type {HeaderVocabulary} from '../../common/gateway/header-vocabulary.js';
import type {BufferedResponse} from '../../common/gateway/buffered-response.js';
import {findHeader} from './find-header.js';
import {isHeaderRepeated} from './is-header-repeated.js';

const misdirectedStatus = 421;
const firstServerErrorStatus = 500;
/** Statuses by which a caller knows that its request has not run and never will; they need the target's proof. */
const refusalStatuses = new Set([408, 429, 503]);

const isSuccess = (status: number): boolean => status >= 200 && status < 300;

/**
Derives the result of an attempt from the response. A response without the request's id, including a refusal, belongs to another request.
One with two ids or two signatures was mixed from two responses on one connection, so neither its status nor its body can be trusted.
A success without the target's signature, or with a content encoding that was not requested, does not come from the target.
*/
export const classifyResponse = ({status, rawHeaders}: Pick<BufferedResponse, 'status' | 'rawHeaders'>, headers: HeaderVocabulary, requestId: string | undefined): ResponseVerdict => {
	if (isHeaderRepeated(rawHeaders, headers.requestId) || isHeaderRepeated(rawHeaders, headers.signature)) {
		return AttemptEnd.Lost;
	}

	const responseRequestId = findHeader(rawHeaders, headers.requestId);
	// A target that refuses a misdirected request may omit its id. The connection is closed afterwards, so a late 421 cannot be taken for a later response.
	if (status === misdirectedStatus && (responseRequestId === undefined || responseRequestId === requestId)) {
		return AttemptEnd.Misdirected;
	}

	if (responseRequestId !== requestId) {
		return AttemptEnd.Lost;
	}

	if (findHeader(rawHeaders, headers.notRun) !== undefined) {
		return AttemptEnd.Refused;
	}

	if (isSuccess(status)) {
		const isFromTarget = findHeader(rawHeaders, headers.signature) !== undefined && findHeader(rawHeaders, 'content-encoding') === undefined;
		return isFromTarget ? AttemptEnd.Answered : AttemptEnd.Lost;
	}

	if (refusalStatuses.has(status)) {
		return AttemptEnd.RefusedUnproven;
	}

	return status >= firstServerErrorStatus ? AttemptEnd.Failed : AttemptEnd.Answered;
};
