import {describe, expect, it} from 'vitest';
import {parsePlacementQuestion} from './parse-placement-question.js';

// Guards against an explanation of another request than the one that was meant.
describe('parsePlacementQuestion', () => {
	it.each([
		['host=h.example&path=%2Fa%2Fb%3Fc', {
			method: 'GET', host: 'h.example', path: '/a/b?c', bodyBytes: 0,
		}],
		['method=POST&host=h.example%3A80&path=/&bodyBytes=700', {
			method: 'POST', host: 'h.example:80', path: '/', bodyBytes: 700,
		}],
		['path=/', 'parameter host is missing'],
		['host=h&path=a', 'parameter path: "a" is invalid'],
		['host=h&path=/a%20b', 'parameter path: "/a b" is invalid'],
		['host=h&path=/&bodyBytes=-1', 'parameter bodyBytes: "-1" is invalid'],
		['host=h&path=/&bodyBytes=', 'parameter bodyBytes: "" is invalid'],
		['host=h&path=/&method=G%20T', 'parameter method: "G T" is invalid'],
		['host=h&host=i&path=/', 'parameter host is given more than once'],
		['host=h&path=/&bodybytes=1', 'unknown parameter "bodybytes"; the parameters are method, host, path, bodyBytes'],
	])('parses %s', (query, expected) => {
		expect(parsePlacementQuestion(new URLSearchParams(query)).match<unknown>(question => question, error => error)).toEqual(expected);
	});
});
