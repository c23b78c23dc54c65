import type {BufferedResponse} from '../../common/gateway/buffered-response.js';
import type {HeaderVocabulary} from '../../common/gateway/header-vocabulary.js';
import type {TargetReport} from '../../common/gateway/target-report.js';
import {findHeader} from './find-header.js';
import {parseTargetLoad} from './parse-target-load.js';

const unavailableStatus = 503;
const leavingValue = '1';
const secondsPattern = /^\d+(?:\.\d+)?$/v;
/** Longest pause that is accepted, in ms. A restart of the target ends any pause. */
const maxPauseMs = 3_600_000;
const wholeNumberPattern = /^\d+$/v;
/** Longest warm-up that is accepted, in ms, as in the list of targets. */
const maxWarmUpMs = 24 * 3_600_000;

/** Parses a Retry-After header (RFC 9110, section 10.2.3), with fractions of seconds. A date is compared to that of the response, so that clocks need not agree. */
const parsePauseMs = (rawHeaders: readonly string[]): number => {
	const text = findHeader(rawHeaders, 'retry-after')?.trim() ?? '';
	const pauseMs = secondsPattern.test(text)
		? Number(text) * 1000
		: Date.parse(text) - Date.parse(findHeader(rawHeaders, 'date') ?? '');
	return Number.isNaN(pauseMs) ? 0 : Math.min(maxPauseMs, Math.max(0, pauseMs));
};

/** Parses a remaining warm-up time, in ms. */
const parseWarmUpMs = (text: string | undefined): number | undefined => text !== undefined && wholeNumberPattern.test(text.trim()) ? Math.min(maxWarmUpMs, Number(text)) : undefined;

/** Parses what a target says of itself in a response; invalid values count as absent. */
export const parseTargetReport = ({status, rawHeaders}: Pick<BufferedResponse, 'status' | 'rawHeaders'>, headers: HeaderVocabulary): TargetReport => ({
	load: parseTargetLoad(findHeader(rawHeaders, headers.load)),
	isLeaving: findHeader(rawHeaders, headers.leaving) === leavingValue,
	pauseMs: status === unavailableStatus ? parsePauseMs(rawHeaders) : 0,
	warmUpLeftMs: parseWarmUpMs(findHeader(rawHeaders, headers.warmUp)),
});
