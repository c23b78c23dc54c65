import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {RequestClass} from '../common/request-class.js';
import {RequestSize} from '../common/request-size.js';
import type {RequestRule} from '../common/request-rule.js';
import type {ServiceSpec} from '../common/service-spec.js';
import {findRule} from './find-rule.js';

const createRule = (name: string, methods: string[], pathPrefix: string, idempotent: boolean): RequestRule => ({
	name, methods, pathPrefix, idempotent, class: RequestClass.Interactive, size: RequestSize.Short, deadlineMs: 1000,
});

const service = {
	rules: [
		createRule('pay', [], '/pay/', false),
		createRule('read', ['GET'], '/', true),
		createRule('write', ['POST'], '/forms/', false),
	],
} as unknown as ServiceSpec;

/** Ways to write a path that some server interprets as the same path. */
const disguise = fc.array(fc.tuple(fc.nat(20), fc.constantFrom(
	(path: string, at: number) => `${path.slice(0, at % path.length)}%${(path.codePointAt(at % path.length) ?? 0).toString(16)}${path.slice((at % path.length) + 1)}`,
	(path: string) => path.replace('/', '//'),
	(path: string) => path.replace('/', '/./'),
	(path: string) => `/open/..${path}`,
	(path: string) => path.replace('/', '/%2e/'),
	(path: string) => path.replaceAll('%', '%25'),
	(path: string) => path.replace('pay', 'pay;v=1'),
	(path: string) => path.replace('/', '\\'),
)), {minLength: 1, maxLength: 3});

describe('findRule', () => {
	it.each([
		{method: 'GET', target: '/x', rule: 'read'},
		{method: 'GET', target: '/pay/1', rule: 'pay'},
		{method: 'GET', target: '/a?b=/../pay/', rule: 'read'},
		{method: 'GET', target: '/a%20b', rule: 'read'},
		{method: 'GET', target: '/x/../pay/1', rule: 'pay'},
		{method: 'GET', target: '/pay/../x', rule: 'pay'},
		{method: 'GET', target: '//pay/1', rule: 'pay'},
		{method: 'GET', target: '/%70ay/1', rule: 'pay'},
		{method: 'GET', target: '/%2570ay/1', rule: 'pay'},
		{method: 'GET', target: '/x/..%2Fpay/1', rule: 'pay'},
		{method: 'POST', target: '/forms/../x', rule: undefined},
		{method: 'POST', target: '/x', rule: undefined},
		{
			method: 'GET', target: '/forms/1', overridingMethod: 'post', rule: 'write',
		},
		{
			method: 'POST', target: '/forms/1', overridingMethod: 'GET', rule: 'write',
		},
		{
			method: 'GET', target: '/x', overridingMethod: 'DELETE', rule: undefined,
		},
	])('matches $method $target to $rule', ({rule, ...request}) => {
		expect(findRule(service, request)?.name).toBe(rule);
	});

	it('applies a rule that is not idempotent to every equivalent form of its path', () => {
		fc.assert(fc.property(disguise, steps => {
			let target = '/pay/7';
			for (const [at, change] of steps) {
				target = change(target, at);
			}

			expect(findRule(service, {method: 'GET', target})?.idempotent ?? false).toBe(false);
		}), {seed: 3, numRuns: 2000});
	});
});
