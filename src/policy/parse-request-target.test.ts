import {describe, expect, it} from 'vitest';
import {parseRequestTarget} from './parse-request-target.js';

describe('parseRequestTarget', () => {
	it.each([
		['a path', '/a/b', '/a/b', {}],
		['a path with a query', '/a?b=c%20d&e=', '/a', {b: 'c d', e: ''}],
		['a second question mark', '/a?b=c?d', '/a', {b: 'c?d'}],
		['two slashes', '//', '//', {}],
		['an authority with a port that is none', 'http://h:99999/', 'http://h:99999/', {}],
		['a star', '*', '*', {}],
		['nothing', '', '', {}],
		['a broken encoding', '/%zz?n=%E0%A4%A', '/%zz', {n: '\uFFFD%A'}],
	])('splits %s', (_name, target, path, query) => {
		const parsed = parseRequestTarget(target);
		expect(parsed.path).toBe(path);
		expect(Object.fromEntries(parsed.query)).toEqual(query);
	});
});
