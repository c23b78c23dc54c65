import type {AnswerVerdict} from '../../common/gateway/answer-verdict.js';
import {AttemptEnd} from '../../common/gateway/attempt-end.js';
import type {HeaderVocabulary} from '../../common/gateway/header-vocabulary.js';
import type {WholeAnswer} from '../../common/gateway/whole-answer.js';
import {findHeader} from './find-header.js';

const misdirectedStatus = 421;
const firstServerError = 500;

const isSuccess = (status: number): boolean => status >= 200 && status < 300;

/**
Decides what a whole answer says about an attempt. An answer that does not carry the request's id belongs to another
request; a success without the target's signature, or with an encoding that nobody asked for, is not the target's.
*/
export const classifyAnswer = ({status, rawHeaders}: WholeAnswer, headers: HeaderVocabulary, requestId: string | undefined): AnswerVerdict => {
	if (status === misdirectedStatus) {
		return AttemptEnd.Misdirected;
	}

	if (findHeader(rawHeaders, headers.notRun) !== undefined) {
		return AttemptEnd.Refused;
	}

	if (requestId !== undefined && findHeader(rawHeaders, headers.requestId) !== requestId) {
		return AttemptEnd.Lost;
	}

	if (isSuccess(status)) {
		const isOriginal = findHeader(rawHeaders, headers.signature) !== undefined && findHeader(rawHeaders, 'content-encoding') === undefined;
		return isOriginal ? AttemptEnd.Answered : AttemptEnd.Lost;
	}

	return status >= firstServerError ? AttemptEnd.Failed : AttemptEnd.Answered;
};
