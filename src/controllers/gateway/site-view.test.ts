import {describe, expect, it} from 'vitest';
import type {ViewVersion} from '../../common/gateway/view-version.js';
import {silentLogger} from '../../../test/support/silent-logger.js';
import {SiteView} from './site-view.js';

type Step = {readonly atMs: number; readonly takes?: number; readonly hearsOf?: number};

const createPeerView = (configuration: number): ViewVersion => ({
	configuration, configurationAgeMs: 0, targets: 0, targetsAgeMs: 0,
});

describe('SiteView', () => {
	it.each<{name: string; steps: Step[]; version: number; lagMs: number}>([
		{
			name: 'holds the newest', steps: [{atMs: 0, takes: 3}, {atMs: 10, hearsOf: 3}], version: 3, lagMs: 0,
		},
		{
			name: 'misses a version', steps: [{atMs: 0, takes: 3}, {atMs: 100, hearsOf: 4}], version: 3, lagMs: 900,
		},
		{
			name: 'misses several in a row', steps: [{atMs: 0, takes: 3}, {atMs: 100, hearsOf: 4}, {atMs: 500, hearsOf: 5}], version: 3, lagMs: 900,
		},
		{
			name: 'takes one of several', steps: [{atMs: 0, takes: 3}, {atMs: 100, hearsOf: 4}, {atMs: 500, hearsOf: 5}, {atMs: 700, takes: 4}], version: 4, lagMs: 300,
		},
		{
			name: 'takes the missed one', steps: [{atMs: 0, takes: 3}, {atMs: 100, hearsOf: 4}, {atMs: 700, takes: 4}], version: 4, lagMs: 0,
		},
		{
			name: 'is offered an older one', steps: [{atMs: 0, takes: 3}, {atMs: 10, takes: 2}], version: 3, lagMs: 0,
		},
		{
			name: 'misses one after it was up to date', steps: [{atMs: 0, takes: 3}, {atMs: 100, hearsOf: 4}, {atMs: 200, takes: 4}, {atMs: 600, hearsOf: 5}], version: 4, lagMs: 400,
		},
	])('knows how long it lacks a configuration when it $name', ({steps, version, lagMs}) => {
		let now = 0;
		const view = new SiteView({clock: {now: () => now}, logger: silentLogger});
		for (const {atMs, takes, hearsOf} of steps) {
			now = atMs;
			if (takes !== undefined) {
				view.offerConfiguration({
					version: takes,
					routes: [],
					services: [],
					limits: {
						headerBytes: 1, bodyBytes: 1, headersTimeoutMs: 1, idleTimeoutMs: 1,
					},
				}, 0);
			}

			if (hearsOf !== undefined) {
				view.offerPeerView(createPeerView(hearsOf), undefined);
			}
		}

		now = 1000;
		expect(view.configuration?.version).toBe(version);
		expect(view.configurationLagMs).toBe(lagMs);
	});
});
