import {describe, expect, it} from 'vitest';
import {orderStalledClients} from './order-stalled-clients.js';

const createClient = (name: string, heldBytes: number, stalledChecks: number, isIdle = false) => ({
	name, heldBytes, stalledChecks, isIdle,
});

// Guards against closing connections of sound callers while others hold memory and stall.
describe('orderStalledClients', () => {
	it.each([
		['none without clients', [], []],
		['none that makes progress, whatever it holds', [createClient('a', 90, 0), createClient('b', 10, 3)], []],
		['the one that holds most first', [createClient('a', 10, 9), createClient('b', 90, 4), createClient('c', 50, 99)], ['b', 'c', 'a']],
		['the longest stalled first among equals', [createClient('a', 0, 4), createClient('b', 0, 9)], ['b', 'a']],
		['idle ones last', [createClient('a', 0, 99, true), createClient('b', 0, 4)], ['b', 'a']],
	])('lists %s', (_name, clients, expected) => {
		expect(orderStalledClients(clients).map(({name}) => name)).toEqual(expected);
	});
});
