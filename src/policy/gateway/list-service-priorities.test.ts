import {expect, it} from 'vitest';
import {listServicePriorities} from './list-service-priorities.js';

const createRoute = (priority: number, objectiveMs: number, weights: Readonly<Record<string, number>>) => ({
	priority, objectiveMs, shares: Object.entries(weights).map(([service, weight]) => ({service, weight})),
});

it.each([
	['no route', [], []],
	['routes of another service', [createRoute(0, 500, {other: 1})], []],
	['a split that sends it nothing', [createRoute(0, 500, {s: 0, other: 1})], []],
	['one priority with several objectives', [createRoute(1, 800, {s: 1}), createRoute(1, 500, {s: 1})], [{priority: 1, objectiveMs: 500}]],
	['several priorities in any order', [createRoute(2, 4000, {s: 1}), createRoute(0, 500, {s: 1, other: 1})], [{priority: 0, objectiveMs: 500}, {priority: 2, objectiveMs: 4000}]],
])('lists the priorities of a service that has %s', (_name, routes, priorities) => {
	expect(listServicePriorities(routes, 's')).toEqual(priorities);
});
