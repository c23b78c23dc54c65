import {describe, expect, it} from 'vitest';
import type {SiteSource} from '../../common/gateway/site-source.js';
import {disabledMetrics} from '../../io/disabled-metrics.js';
import {gatewayTarget} from '../../../test/support/gateway-target.js';
import {silentLogger} from '../../../test/support/silent-logger.js';
import {SiteView} from './site-view.js';
import {SourceReader} from './source-reader.js';

const source: SiteSource = {
	readConfiguration: async () => Promise.race([]),
	waitForChange: async () => Promise.race([]),
	readTargets: async () => Promise.race([]),
};

const defaults = {
	isReader: false, isDeputy: false, isJoined: true, waitsForPeers: false, isComplete: true, targetsAgeMs: 0, configurationAgeMs: 0, runsMs: 10_000, lagMs: undefined as number | undefined,
};

const createReader = (given: Partial<typeof defaults>) => {
	const {isReader, isDeputy, isJoined, waitsForPeers} = {...defaults, ...given};
	const time = {now: 0};
	const clock = {now: () => time.now};
	const view = new SiteView({clock, logger: silentLogger});
	const reader = new SourceReader({
		source,
		view,
		logger: silentLogger,
		metrics: disabledMetrics,
		clock,
		isReader: () => isReader,
		isDeputy: () => isDeputy,
		isJoined: () => isJoined,
		onRead: () => undefined,
		random: () => 0,
		waitsForPeers,
		targetChangeMs: 2000,
		configurationChangeMs: 2000,
	});
	let revision = 0;
	const tell = (targetsAgeMs: number, configurationAgeMs: number) => {
		revision++;
		view.offerConfiguration({
			version: 1,
			routes: [],
			services: [],
			limits: {
				headerBytes: 1, bodyBytes: 1, headersTimeoutMs: 1, idleTimeoutMs: 1,
			},
		}, configurationAgeMs);
		view.offerTargets({revision, targets: [gatewayTarget]}, targetsAgeMs);
	};

	return {
		reader, time, tell, view,
	};
};

describe('SourceReader.checkReading', () => {
	it.each([
		{name: 'the reader', isReader: true, expected: true},
		{name: 'an instance that is told all', expected: false},
		{
			name: 'a deputy with an old list', isDeputy: true, targetsAgeMs: 1300, expected: true,
		},
		{name: 'another one with the same list', targetsAgeMs: 1290, expected: false},
		{name: 'another one with a list that is nearly too old', targetsAgeMs: 1700, expected: true},
		{name: 'one with a fresh list and an old configuration', configurationAgeMs: 2600, expected: true},
		{
			name: 'one that has just started and knows nothing', isComplete: false, runsMs: 100, expected: false,
		},
		{
			name: 'one that started and was told nothing', isComplete: false, runsMs: 1100, expected: true,
		},
		{
			name: 'the reader that has just started and knows others', isComplete: false, isReader: true, runsMs: 100, expected: true,
		},
		{
			name: 'one that has just started and takes itself for the reader', isComplete: false, isReader: true, isJoined: false, runsMs: 100, expected: false,
		},
		{
			name: 'one at the first start that knows nothing', isComplete: false, waitsForPeers: true, expected: false,
		},
		{
			name: 'the reader at the first start', isComplete: false, waitsForPeers: true, isReader: true, expected: true,
		},
	])('lets $name read: $expected', ({name: _name, expected, ...given}) => {
		const {isComplete, targetsAgeMs, configurationAgeMs, runsMs, lagMs} = {...defaults, ...given};
		const {
			reader, time, tell, view,
		} = createReader(given);
		time.now = runsMs;
		if (isComplete) {
			tell(targetsAgeMs, configurationAgeMs);
		}

		if (lagMs !== undefined) {
			view.offerPeerView({
				configuration: 2, configurationAgeMs: 0, targets: 1, targetsAgeMs: 0,
			}, undefined);
			time.now += lagMs;
			view.offerPeerView({
				configuration: 3, configurationAgeMs: 0, targets: 1, targetsAgeMs: 0,
			}, undefined);
		}

		expect(reader.checkReading()).toBe(expected);
	});

	it('goes on to read for 4 s after it was told nothing, though the view is fresh again', () => {
		const {reader, time, tell} = createReader({});
		time.now = 10_000;
		tell(1500, 0);
		expect(reader.checkReading()).toBe(true);
		const readings = [1000, 1000, 1000, 1001].map(passedMs => {
			time.now += passedMs;
			tell(0, 0);
			return reader.checkReading();
		});
		expect(readings).toEqual([true, true, true, false]);
	});
});
