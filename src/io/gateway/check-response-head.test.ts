import {describe, expect, it} from 'vitest';
import {checkResponseHead} from './check-response-head.js';

describe('checkResponseHead', () => {
	it.each([
		['a success', 200, ['X-A', 'b']],
		['the largest status', 599, []],
		['a value with a tab and a byte above ASCII', 200, ['X-A', 'b\t\u00FF']],
		['an empty value', 200, ['X-A', '']],
		['the status 204 with a length of 0', 204, ['Content-Length', '0']],
		['the status 304 with the length of what it stands for', 304, ['Content-Length', '9']],
		['a name that occurs twice', 200, ['X-A', '1', 'X-A', '2']],
	])('accepts %s', (_name, status, rawHeaders) => {
		expect(checkResponseHead({status, rawHeaders})).toBeUndefined();
	});

	it.each([
		['the status 0', 0, []],
		['an informational status', 103, []],
		['a switch of protocols', 101, []],
		['a status above 599', 901, []],
		['the status 204 with a length', 204, ['X-A', 'b', 'content-length', '9']],
		['the status 204 with chunks', 204, ['Transfer-Encoding', 'chunked']],
		['the status 205 with a length', 205, ['Content-Length', '9']],
		['a space in a name', 200, ['X A', 'b']],
		['a space in a name behind valid ones', 200, ['X-A', 'b', 'X B', 'c']],
		['an empty name', 200, ['', 'b']],
		['a control character in a value', 200, ['X-A', 'b\u0001']],
		['a delete character in a value', 200, ['X-A', 'b\u007F']],
	])('rejects %s', (_name, status, rawHeaders) => {
		expect(checkResponseHead({status, rawHeaders})).toBeTypeOf('string');
	});
});
