import {err, ok} from 'neverthrow';
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {gatewayConfiguration} from '../../../test/support/gateway-configuration.js';
import type {ConfigurationHolder} from '../../common/gateway/configuration-holder.js';
import {PeerFailureKind} from '../../common/gateway/peer-failure-kind.js';
import type {SyncClient} from '../../io/gateway/sync-client.js';
import {disabledMetrics} from '../../io/disabled-metrics.js';
import {ConfigurationFetcher} from './configuration-fetcher.js';
import {SiteView} from './site-view.js';

type Fetched = Awaited<ReturnType<SyncClient['fetchConfiguration']>>;

const clock = {now: () => Date.now()};
const {version} = gatewayConfiguration;
const damaged: ConfigurationHolder = {
	id: 'damaged', incarnation: 1, peerAddress: 'damaged', announcedVersion: version,
};
const sound: ConfigurationHolder = {...damaged, id: 'sound', peerAddress: 'sound'};
const refused: Fetched = err({kind: PeerFailureKind.Refused, field: 'limits', detail: 'missing'});
const unreachable: Fetched = err({kind: PeerFailureKind.Unreachable, detail: 'timeout'});

describe('ConfigurationFetcher', () => {
	let lines: unknown[] = [];
	let asked: string[] = [];
	let holders: readonly ConfigurationHolder[] = [];
	const answers = new Map<string, Fetched | Promise<Fetched>>();
	const addLine = (event: string, fields: unknown) => {
		lines.push([event, fields]);
	};

	const logger = {logError: addLine, logInfo: addLine, logDebug: addLine};
	let view = new SiteView({clock, logger});
	let fetcher: ConfigurationFetcher;

	const settle = async () => new Promise(resolve => {
		setImmediate(resolve);
	});

	beforeEach(() => {
		lines = [];
		asked = [];
		answers.set('sound', ok({configuration: gatewayConfiguration, ageMs: 0}));
		view = new SiteView({clock, logger});
		fetcher = new ConfigurationFetcher({
			client: {
				async fetchConfiguration(address) {
					asked.push(address);
					return answers.get(address) ?? unreachable;
				},
			},
			view,
			clock,
			logger,
			metrics: disabledMetrics,
			listHolders: current => holders.filter(({announcedVersion}) => announcedVersion > current),
		});
	});

	afterEach(() => {
		fetcher.dispose();
		vi.useRealTimers();
	});

	it.each([
		['is refused', refused, {field: 'limits', detail: 'missing'}],
		['is not newer than the one in force', ok(undefined), {field: '(root)', detail: 'no version above 0, which the peer has announced'}],
	])('when what a peer gives %s, logs it, asks another holder and that peer not again', async (_name, answer, fields) => {
		answers.set('damaged', answer);
		holders = [damaged, sound];
		fetcher.fetchNewer();
		await settle();
		expect(asked).toEqual(['damaged', 'sound']);
		expect(view.version.configuration).toBe(version);
		expect(lines).toContainEqual(['peer-configuration-refused', {peer: 'damaged', version, ...fields}]);
	});

	it('does not ask a peer again and again for a version that was refused, until it announces another one', async () => {
		answers.set('damaged', refused);
		holders = [damaged];
		for (let round = 0; round < 5; round++) {
			fetcher.fetchNewer();
			await settle();
		}

		expect(asked).toEqual(['damaged']);
		holders = [{...damaged, announcedVersion: version + 1}];
		fetcher.fetchNewer();
		await settle();
		expect(asked).toEqual(['damaged', 'damaged']);
		expect(view.configuration).toBeUndefined();
	});

	// Guards against a peer that has ended and is asked again and again, since its last message is the latest, while others have the configuration.
	it('asks another holder at once when a peer could not be reached', async () => {
		answers.set('damaged', unreachable);
		holders = [damaged, sound];
		fetcher.fetchNewer();
		await settle();
		expect(asked).toEqual(['damaged', 'sound']);
		expect(view.version.configuration).toBe(version);
	});

	// Guards against transfers and checks that are done twice, each on an instance that its neighbours wait for.
	it('asks one holder at a time, and another one when the first is slow', async () => {
		vi.useFakeTimers();
		answers.set('damaged', Promise.race<Fetched>([]));
		holders = [damaged, sound];
		fetcher.fetchNewer();
		fetcher.fetchNewer();
		await vi.advanceTimersByTimeAsync(100);
		expect(asked).toEqual(['damaged']);
		await vi.advanceTimersByTimeAsync(500);
		expect(asked).toEqual(['damaged', 'sound']);
		expect(view.version.configuration).toBe(version);
	});

	it('asks a peer again that could not be reached', async () => {
		vi.useFakeTimers();
		answers.set('damaged', unreachable);
		holders = [damaged];
		fetcher.fetchNewer();
		await vi.advanceTimersByTimeAsync(400);
		fetcher.fetchNewer();
		await vi.advanceTimersByTimeAsync(10);
		expect(asked).toEqual(['damaged', 'damaged']);
		expect(lines).toContainEqual(['configuration-fetch-failed', {
			peer: 'damaged', version, error: 'timeout', tookMs: expect.any(Number) as number,
		}]);
	});
});
