import {describe, expect, it} from 'vitest';
import type {GatewayRoute} from '../../common/gateway/gateway-route.js';
import {RouteIndex} from './route-index.js';

const createRoute = (name: string, host: string, pathPrefix: string): GatewayRoute => ({
	name, host, pathPrefix, shares: [{service: 's', weight: 1}], isIdempotent: true, timeoutMs: 1000, objectiveMs: 300, priority: 1, maxAttempts: 2,
});

const routes = [createRoute('root', 'a.example', '/'), createRoute('long', 'a.example', '/x/y/'), createRoute('short', 'a.example', '/x/'), createRoute('other', 'b.example', '/x/')];

describe('RouteIndex', () => {
	it.each([
		['the longest prefix', 'a.example', '/x/y/z', 'long'],
		['a shorter prefix', 'a.example', '/x/z', 'short'],
		['the root', 'a.example', '/q', 'root'],
		['a prefix without its last slash', 'a.example', '/x', 'root'],
		['upper case and a port in the host', 'A.Example:8080', '/x/z', 'short'],
		['another host', 'b.example', '/x/1', 'other'],
		['no prefix of the host', 'b.example', '/y/', undefined],
		['an unknown host', 'c.example', '/x/', undefined],
	])('finds %s', (_name, host, path, expected) => {
		expect(new RouteIndex(routes).findRoute(host, path)?.name).toBe(expected);
	});

	it('keeps the first of two routes with the same prefix', () => {
		expect(new RouteIndex([createRoute('first', 'a.example', '/x/'), createRoute('second', 'a.example', '/x/')]).findRoute('a.example', '/x/1')?.name).toBe('first');
	});
});
