import {ok} from 'neverthrow';
import {describe, expect, it} from 'vitest';
import type {SiteRegistry} from '../../common/gateway/site-registry.js';
import {disabledMetrics} from '../../io/disabled-metrics.js';
import {gatewayTarget} from '../../../test/support/gateway-target.js';
import {silentLogger} from '../../../test/support/silent-logger.js';
import {SiteView} from './site-view.js';
import {RegistryReader} from './registry-reader.js';

const source: SiteRegistry = {
	readConfiguration: async () => Promise.race([]),
	readEvacuations: async () => Promise.race([]),
	checkEvacuations: async () => ok(undefined),
	waitForChange: async () => Promise.race([]),
	waitForTargetChanges: async () => Promise.race([]),
	readTargets: async () => Promise.race([]),
};

const defaults = {
	isReader: false, isStandbyReader: false, isJoined: true, waitsForPeers: false, isComplete: true, targetsAgeMs: 0, configurationAgeMs: 0, runsMs: 10_000, lagMs: undefined as number | undefined,
};

const createReader = (given: Partial<typeof defaults>) => {
	const {isReader, isStandbyReader, isJoined, waitsForPeers} = {...defaults, ...given};
	const time = {now: 0};
	const clock = {now: () => time.now};
	const view = new SiteView({clock, logger: silentLogger});
	const reader = new RegistryReader({
		source,
		view,
		logger: silentLogger,
		metrics: disabledMetrics,
		clock,
		isReader: () => isReader,
		isStandbyReader: () => isStandbyReader,
		isJoined: () => isJoined,
		onRead: () => undefined,
		random: () => 0,
		waitsForPeers,
		targetChangeMs: 2000,
		configurationChangeMs: 2000,
	});
	let revision = 0;
	const updateView = (targetsAgeMs: number, configurationAgeMs: number) => {
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
		reader, time, updateView, view,
	};
};

describe('RegistryReader.checkReading', () => {
	it.each([
		{name: 'the reader', isReader: true, expected: true},
		{name: 'another instance with a fresh view', expected: false},
		{
			name: 'a standby reader with an old list', isStandbyReader: true, targetsAgeMs: 1300, expected: true,
		},
		{name: 'another instance with a list of nearly that age', targetsAgeMs: 1290, expected: false},
		{name: 'another instance with a list that is nearly too old', targetsAgeMs: 1700, expected: true},
		{name: 'one with a fresh list and an old configuration', configurationAgeMs: 2600, expected: true},
		{
			name: 'one that has just started and knows nothing', isComplete: false, runsMs: 100, expected: false,
		},
		{
			name: 'one that has received nothing since its start', isComplete: false, runsMs: 1100, expected: true,
		},
		{
			name: 'the reader that has just started and knows peers', isComplete: false, isReader: true, runsMs: 100, expected: true,
		},
		{
			name: 'one that has just started and considers itself the reader without peers', isComplete: false, isReader: true, isJoined: false, runsMs: 100, expected: false,
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
			reader, time, updateView, view,
		} = createReader(given);
		time.now = runsMs;
		if (isComplete) {
			updateView(targetsAgeMs, configurationAgeMs);
		}

		if (lagMs !== undefined) {
			view.offerPeerView({
				view: {
					configuration: 2, configurationAgeMs: 0, targets: 1, targetsAgeMs: 0,
				},
			});
			time.now += lagMs;
			view.offerPeerView({
				view: {
					configuration: 3, configurationAgeMs: 0, targets: 1, targetsAgeMs: 0,
				},
			});
		}

		expect(reader.checkReading()).toBe(expected);
	});

	// Guards against all instances that read targets at the crest of the load since a configuration spreads slowly.
	it('does not read the targets because an announced configuration is missing', () => {
		const {reader, time, updateView, view} = createReader({});
		time.now = 10_000;
		updateView(0, 0);
		view.offerPeerView({
			view: {
				configuration: 2, configurationAgeMs: 0, targets: 1, targetsAgeMs: 0,
			},
		});
		time.now += 1200;
		expect(view.configurationLagMs).toBe(1200);
		expect(reader.checkReading()).toBe(false);
	});

	it('keeps reading for 4 s after its view was too old, although the view is fresh again', () => {
		const {reader, time, updateView} = createReader({});
		time.now = 10_000;
		updateView(1500, 0);
		expect(reader.checkReading()).toBe(true);
		const readings = [1000, 1000, 1000, 1001].map(passedMs => {
			time.now += passedMs;
			updateView(0, 0);
			return reader.checkReading();
		});
		expect(readings).toEqual([true, true, true, false]);
	});
});
