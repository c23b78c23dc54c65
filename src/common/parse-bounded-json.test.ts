import {describe, expect, it} from 'vitest';
import {parseBoundedJson} from './parse-bounded-json.js';

describe('parseBoundedJson', () => {
	it.each([
		['an object', '{"a":[1,"b"]}', {a: [1, 'b']}],
		['a long text', `"${'a'.repeat(1_000_000)}"`, 'a'.repeat(1_000_000)],
	])('parses %s', (_name, text, value) => {
		expect(parseBoundedJson(text)).toEqual(value);
	});

	it.each([
		['no JSON', '{'],
		['too many empty arrays', `[${'[],'.repeat(125_000)}[]]`],
		['too many numbers', `[${'1,'.repeat(125_000)}1]`],
		['too much nesting', `${'['.repeat(125_001)}${']'.repeat(125_001)}`],
	])('rejects %s', (_name, text) => {
		expect(() => parseBoundedJson(text)).toThrow(SyntaxError);
	});
});
