import {err, ok, type Result} from 'neverthrow';
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import type {GatewayConfiguration} from '../../common/gateway/gateway-configuration.js';
import type {OperatorChanges} from '../../common/gateway/operator-changes.js';
import {RegistryFailure} from '../../common/gateway/registry-failure.js';
import type {RegistryError} from '../../common/gateway/registry-error.js';
import type {SiteRegistry} from '../../common/gateway/site-registry.js';
import {disabledMetrics} from '../../io/disabled-metrics.js';
import {silentLogger} from '../../../test/support/silent-logger.js';
import {OperatorReader} from './operator-reader.js';
import {SiteView} from './site-view.js';

const configuration: GatewayConfiguration = {
	version: 1,
	routes: [],
	services: [],
	limits: {
		headerBytes: 1, bodyBytes: 1, headersTimeoutMs: 1, idleTimeoutMs: 1,
	},
};
const unreadable: RegistryError = {failure: RegistryFailure.Unreadable, detail: 'odd'};

describe('OperatorReader', () => {
	let store = {era: 1, revision: 10, domains: ['a']};
	let readRevision = 0;
	let calls: string[] = [];
	let configurationResult: Result<GatewayConfiguration, RegistryError> = ok(configuration);
	let watchResults: Array<Result<OperatorChanges, RegistryError>> = [];
	let abortController = new AbortController();
	let isReading = true;
	let checkErrors: RegistryError[] = [];
	let view: SiteView;

	const createChanges = (hasConfiguration: boolean, hasEvacuations: boolean): Result<OperatorChanges, RegistryError> => ok({hasConfiguration, hasEvacuations, upTo: {era: store.era, revision: store.revision}});

	beforeEach(() => {
		vi.useFakeTimers();
		store = {era: 1, revision: 10, domains: ['a']};
		calls = [];
		isReading = true;
		checkErrors = [];
		configurationResult = ok(configuration);
		watchResults = [];
		abortController = new AbortController();
		const clock = {now: () => Date.now()};
		view = new SiteView({clock, logger: silentLogger, evacuationMs: 5000});
		const pause = async (ms: number): Promise<void> => new Promise(resolve => {
			setTimeout(resolve, ms);
		});
		const source: Pick<SiteRegistry, 'readConfiguration' | 'readEvacuations' | 'checkEvacuations' | 'waitForChange'> = {
			async readConfiguration() {
				calls.push('configuration');
				return configurationResult;
			},
			async readEvacuations() {
				calls.push('evacuations');
				readRevision = store.revision;
				return ok(store);
			},
			async checkEvacuations(since) {
				const error = checkErrors.shift();
				return error === undefined ? ok(since.era === store.era && since.revision === store.revision ? since : undefined) : err(error);
			},
			async waitForChange() {
				await pause(1000);
				return watchResults.shift() ?? createChanges(false, store.revision !== readRevision);
			},
		};
		const reader = new OperatorReader({
			source: source as SiteRegistry, view, logger: silentLogger, metrics: disabledMetrics, clock, random: () => 0, signal: abortController.signal, hasFailures: () => false, checkReading: () => isReading, onRead: () => undefined, pause,
		});
		void reader.run();
	});

	afterEach(() => {
		abortController.abort();
		vi.useRealTimers();
	});

	// Guards against a large configuration that is read for each evacuation, and against a change that is not read.
	it.each<[string, () => Result<OperatorChanges, RegistryError>, string[]]>([
		['nothing', () => createChanges(false, false), []],
		['an evacuation', () => createChanges(false, true), ['evacuations']],
		['the configuration', () => createChanges(true, false), ['configuration']],
		['both', () => createChanges(true, true), ['evacuations', 'configuration']],
		['a failure', () => err({failure: RegistryFailure.HistoryLost, detail: ''}), ['evacuations', 'configuration']],
	])('reads what has changed after a wait that ends with %s', async (_name, createResult, expected) => {
		await vi.advanceTimersByTimeAsync(500);
		expect(calls).toEqual(['configuration', 'evacuations']);
		calls = [];
		store = {era: 1, revision: 12, domains: []};
		watchResults = [createResult()];
		await vi.advanceTimersByTimeAsync(1400);
		expect(calls).toEqual(expected);
		expect(view.operator.evacuatedDomains).toEqual(expected.includes('evacuations') ? [] : ['a']);
		expect(view.operator.evacuationsAgeMs).toBeLessThan(1500);
	});

	// Guards against a range read of each instance that begins to read, or whose watch was cut, although nothing has changed.
	it.each<[string, RegistryError[], string[]]>([
		['they have not changed', [], ['configuration']],
		['the check that they have not changed is late once', [{failure: RegistryFailure.Unreachable, detail: ''}], ['configuration']],
		['the registry cannot tell whether they have changed', [unreadable], ['configuration', 'evacuations']],
	])('reads the evacuations again after a wait that failed only if needed, when %s', async (_name, errors, expected) => {
		checkErrors = errors;
		await vi.advanceTimersByTimeAsync(500);
		calls = [];
		watchResults = [err({failure: RegistryFailure.HistoryLost, detail: ''})];
		await vi.advanceTimersByTimeAsync(1400);
		expect(calls).toEqual(expected);
		expect(view.operator.evacuationsAgeMs).toBeLessThan(1000);
	});

	// Guards against an empty set that gets the revision of an earlier time of reading, before a restoration: the fleet would take it for newer than those that follow.
	it('reads the configuration, which tells the state of the registry, first when it reads again after a time', async () => {
		await vi.advanceTimersByTimeAsync(500);
		isReading = false;
		await vi.advanceTimersByTimeAsync(10_000);
		calls = [];
		isReading = true;
		await vi.advanceTimersByTimeAsync(500);
		expect(calls).toEqual(['configuration', 'evacuations']);
	});

	// Guards against evacuations that are not followed while an operator's configuration cannot be read.
	it('follows the evacuations while the configuration cannot be read', async () => {
		await vi.advanceTimersByTimeAsync(500);
		configurationResult = err(unreadable);
		watchResults = [createChanges(true, false)];
		await vi.advanceTimersByTimeAsync(1500);
		store = {era: 1, revision: 12, domains: ['a', 'b']};
		await vi.advanceTimersByTimeAsync(1000);
		expect(view.operator.evacuatedDomains).toEqual(['a', 'b']);
	});

	// Guards against a fleet that never learns of an evacuation since the configuration could not be read when its reads began.
	it('reads the evacuations although the configuration cannot be read when it begins to read', async () => {
		await vi.advanceTimersByTimeAsync(500);
		isReading = false;
		await vi.advanceTimersByTimeAsync(10_000);
		configurationResult = err(unreadable);
		store = {era: 1, revision: 12, domains: ['a', 'b']};
		isReading = true;
		await vi.advanceTimersByTimeAsync(500);
		expect(view.operator.evacuatedDomains).toEqual(['a', 'b']);
	});

	// Guards against a set that no read replaces, after an answer that was wrong or from a peer that was.
	it.each([
		['the registry', () => {
			store = {era: 1, revision: 9_000_000, domains: ['a', 'b']};
			watchResults = [createChanges(false, true)];
		}],
		['a peer', () => {
			view.operator.offerEvacuations({
				generation: 4, era: 7, revision: 9_000_000, domains: ['b'],
			}, 0);
		}],
	])('returns to what the registry has after %s gave a set that it does not have', async (_name, giveWrong) => {
		await vi.advanceTimersByTimeAsync(500);
		giveWrong();
		await vi.advanceTimersByTimeAsync(1000);
		expect(view.operator.evacuatedDomains).toContain('b');
		store = {era: 1, revision: 20, domains: []};
		await vi.advanceTimersByTimeAsync(4000);
		expect(view.operator.evacuationOrder).toMatchObject({era: 1, revision: 20});
		await vi.advanceTimersByTimeAsync(5000);
		expect(view.operator.evacuatedDomains).toEqual([]);
		expect(view.operator.evacuationsAgeMs).toBeLessThan(1500);
	});
});
