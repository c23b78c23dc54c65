import {err, ok} from 'neverthrow';
import {
	beforeEach, describe, expect, it,
} from 'vitest';
import {gatewayConfiguration} from '../../../test/support/gateway-configuration.js';
import type {ConfigurationHolder} from '../../common/gateway/configuration-holder.js';
import {PeerFailureKind} from '../../common/gateway/peer-failure-kind.js';
import type {SyncClient} from '../../io/gateway/sync-client.js';
import {disabledMetrics} from '../../io/disabled-metrics.js';
import {ConfigurationFetcher} from './configuration-fetcher.js';
import {SiteView} from './site-view.js';

type Fetched = Awaited<ReturnType<SyncClient['fetchConfiguration']>>;

const clock = {now: () => 0};
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
	const answers = new Map<string, Fetched>();
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

	it('asks a peer again that could not be reached', async () => {
		answers.set('damaged', unreachable);
		holders = [damaged];
		fetcher.fetchNewer();
		await settle();
		fetcher.fetchNewer();
		await settle();
		expect(asked).toEqual(['damaged', 'damaged']);
		expect(lines).toContainEqual(['configuration-fetch-failed', {
			peer: 'damaged', version, error: 'timeout', tookMs: 0,
		}]);
	});
});
