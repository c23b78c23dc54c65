import {describe, expect, it} from 'vitest';
import {gatewayHeaders} from '../../../test/support/gateway-headers.js';
import {parseTargetReport} from './parse-target-report.js';

const date = 'Sat, 05 Dec 2026 10:00:00 GMT';
const maxPauseMs = 3_600_000;

describe('parseTargetReport', () => {
	it.each([
		['no header', 503, [], 0],
		['whole seconds', 503, ['Retry-After', '2'], 2000],
		['a fraction', 503, ['retry-after', ' 0.75 '], 750],
		['another status', 429, ['Retry-After', '2'], 0],
		['nothing', 503, ['Retry-After', ''], 0],
		['nonsense', 503, ['Retry-After', 'soon'], 0],
		['a hexadecimal number', 503, ['Retry-After', '0x10'], 0],
		['a negative number', 503, ['Retry-After', '-5'], 0],
		['infinity', 503, ['Retry-After', 'Infinity'], 0],
		['a huge number', 503, ['Retry-After', '9'.repeat(400)], maxPauseMs],
		['a later date', 503, ['Date', date, 'Retry-After', 'Sat, 05 Dec 2026 10:00:03 GMT'], 3000],
		['a date in the past', 503, ['Date', date, 'Retry-After', 'Sat, 05 Dec 2026 09:00:00 GMT'], 0],
		['a date far ahead', 503, ['Date', date, 'Retry-After', 'Sat, 05 Dec 2099 10:00:00 GMT'], maxPauseMs],
		['a date without the time of the response', 503, ['Retry-After', 'Sat, 05 Dec 2026 10:00:03 GMT'], 0],
	])('reads the pause from %s', (_name, status, rawHeaders, pauseMs) => {
		expect(parseTargetReport({status, rawHeaders}, gatewayHeaders).pauseMs).toBe(pauseMs);
	});

	it.each([
		['1', true],
		['0', false],
		['', false],
		['yes', false],
	])('reads from the header value "%s" whether the target is leaving: %s', (value, isLeaving) => {
		expect(parseTargetReport({status: 200, rawHeaders: ['X-Leaving', value]}, gatewayHeaders)).toMatchObject({isLeaving, load: undefined});
	});

	it.each([
		['12000', 12_000],
		['0', 0],
		['1.5', undefined],
		['-1', undefined],
		['soon', undefined],
		['9'.repeat(400), 86_400_000],
	])('reads from the header value "%s" the remaining warm-up time %s', (value, warmUpLeftMs) => {
		expect(parseTargetReport({status: 200, rawHeaders: ['X-Warm-Up', value]}, gatewayHeaders).warmUpLeftMs).toBe(warmUpLeftMs);
	});

	it('reads the load', () => {
		expect(parseTargetReport({status: 200, rawHeaders: ['X-Load', '1,0,4,150']}, gatewayHeaders).load).toEqual({
			running: 1, waiting: 0, slots: 4, slowdown: 1.5,
		});
	});
});
