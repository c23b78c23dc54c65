import {setTimeout as sleep} from 'node:timers/promises';
import type {Result} from 'neverthrow';
import type {Clock} from '../common/clock.js';
import type {DisposableLike} from '../common/disposable-like.js';
import {DisposableStore} from '../common/disposable-store.js';
import type {Logger} from '../common/logger.js';
import type {Metrics} from '../common/metrics.js';
import {MemberState} from '../common/member-state.js';
import type {PlatformClient} from '../io/platform-client.js';
import type {PlatformValue} from '../io/platform-value.js';
import {runTask} from '../io/run-task.js';
import {computeDigest} from '../policy/compute-digest.js';
import {ReadRateLimiter} from '../policy/configuration/read-rate-limiter.js';
import {chooseInstances} from '../policy/routes/choose-instances.js';
import type {ConfigurationController} from './configuration-controller.js';
import type {MembershipController} from './membership-controller.js';

type ReaderOptions = {
	readonly platform: PlatformClient;
	readonly configuration: ConfigurationController;
	readonly members: MembershipController;
	readonly clock: Clock;
	readonly random: () => number;
	readonly logger: Logger;
	readonly metrics: Metrics;
	/** Key prefix of the published configuration. */
	readonly prefix: string;
	/** Maximum time for which one watch call blocks, in ms. */
	readonly waitMs: number;
	/** Calls per second over all instances. */
	readonly callsPerSecond: number;
	/** Number of instances that watch each key. */
	readonly readersPerKey: number;
};

const instancesKey = 'instances';
/** Name by which the readers of the key listing are chosen. */
const listingName = '(keys)';
const tickMs = 100;
const watchUpdateDelayMs = 100;
/** Delay after which a revision that has not arrived from peers is read from the configuration service, in ms. */
const readDelayMs = 1500;
const readJitterMs = 1500;
const startupReadDelayMs = 200;
const startupReadJitterMs = 500;
const auditIntervalMs = 5000;
/** Pause after an exception in a watch, in ms. */
const failurePauseMs = 1000;
const minRetryMs = 250;
const maxRetryMs = 8000;
/** Consecutive failed calls after which this instance reports that it cannot read. */
const maxConsecutiveFailures = 3;
/**
Deletions are refused when one listing lacks more than this share of the stored keys and more than `maxDeletedKeys` of them:
the service has then probably lost its data.
*/
const maxDeletedShare = 0.5;
const maxDeletedKeys = 2;

/** Reads and watches this instance's share of the configuration service's keys, within the read rate limit. */
export class PlatformReader implements DisposableLike {
	private readonly _store = new DisposableStore();
	private readonly _abort = new AbortController();
	private readonly _watches = new Map<string, AbortController>();
	private readonly _rateLimiter: ReadRateLimiter;
	private readonly _readDueAt = new Map<string, number>();
	private _tickTimer: NodeJS.Timeout | undefined;
	private _watchUpdateTimer: NodeJS.Timeout | undefined;
	private _auditAt: number;
	private _auditIndex = 0;
	private _failureCount = 0;
	private _callCount = 0;
	private _listingIndex = 0;
	private _isStarting = true;
	private _lastReadAt: number | undefined;

	constructor(private readonly _options: ReaderOptions) {
		const now = _options.clock.now();
		this._rateLimiter = new ReadRateLimiter(_options.callsPerSecond, now);
		this._auditAt = now + auditIntervalMs;
		const scheduleWatchUpdate = () => {
			this._watchUpdateTimer ??= setTimeout(() => {
				this._watchUpdateTimer = undefined;
				void runTask(this._options, 'configuration-watches', () => {
					this._updateWatches();
				});
			}, watchUpdateDelayMs);
		};

		this._store.add(_options.members.onMembersChanged(scheduleWatchUpdate));
		this._store.add(_options.configuration.onAccepted(scheduleWatchUpdate));
		this._store.add(_options.configuration.onInstanceList(list => {
			this._rateLimiter.setMaxInstances(list.maxInstances);
		}));
	}

	/** Keys that this instance watches now. */
	get watchedKeys(): readonly string[] {
		return [...this._watches.keys()];
	}

	/** Number of calls made by this process, including watches. */
	get callCount(): number {
		return this._callCount;
	}

	/** This instance's share of the watches and calls that all instances together may make. */
	get budget(): {readonly watchLimit: number; readonly callsPerSecond: number} {
		return {watchLimit: this._rateLimiter.watchLimit, callsPerSecond: this._rateLimiter.callsPerSecond};
	}

	/** Time since the service last responded, in ms; undefined when it never did. */
	get readAgeMs(): number | undefined {
		return this._lastReadAt === undefined ? undefined : this._options.clock.now() - this._lastReadAt;
	}

	/** Reads the instance list, by which the keys are divided among instances; resolves after one attempt, also when it fails. */
	async readInstances(): Promise<void> {
		await this._waitForCall(this._abort.signal);
		await runTask(this._options, 'configuration-read', async () => this._readValue(instancesKey));
	}

	/** Reads the key listing and starts watching. Resolves when every listed key has been received, or after the timeout in ms. */
	async start(timeoutMs: number): Promise<void> {
		await runTask(this._options, 'configuration-read', async () => this._readListing());
		this._updateWatches();
		this._tickTimer = setInterval(() => {
			void runTask(this._options, 'configuration-round', async () => this._tick());
		}, tickMs);
		const endAt = this._options.clock.now() + timeoutMs;
		while (this._options.configuration.listWanted().length > 0 && this._options.clock.now() < endAt && !this._abort.signal.aborted) {
			await sleep(10);
		}

		this._isStarting = false;
	}

	dispose(): void {
		this._abort.abort();
		clearInterval(this._tickTimer);
		clearTimeout(this._watchUpdateTimer);
		this._store.dispose();
		for (const watch of this._watches.values()) {
			watch.abort();
		}
	}

	/** Starts and stops watches to match the keys that this instance reads. */
	private _updateWatches(): void {
		if (this._abort.signal.aborted) {
			return;
		}

		const ownKeys = this._chooseKeys();
		for (const [key, watch] of this._watches) {
			if (!ownKeys.has(key)) {
				watch.abort();
				this._watches.delete(key);
			}
		}

		for (const key of ownKeys) {
			if (!this._watches.has(key)) {
				const watch = new AbortController();
				this._watches.set(key, watch);
				void this._runWatch(key, watch.signal);
			}
		}
	}

	private _chooseKeys(): Set<string> {
		const {configuration, members, readersPerKey} = this._options;
		const alive = members.listRecords().filter(({state}) => state === MemberState.Alive);
		const readers = alive.filter(({canRead}) => canRead);
		const candidates = (readers.length > 0 ? readers : alive).map(({instance}) => ({id: instance.id, failureDomain: instance.failureDomain}));
		const listed = configuration.listWanted().map(({key}) => key);
		const held = configuration.keys.filter(key => configuration.getNewest(key)?.text !== undefined);
		const names = [listingName, instancesKey, ...new Set([...held, ...listed])];
		const selfId = members.self.instance.id;
		const ownKeys = new Set<string>();
		for (const name of names) {
			if (ownKeys.size < this._rateLimiter.watchLimit && chooseInstances(`reader:${name}`, candidates, readersPerKey).some(({id}) => id === selfId)) {
				ownKeys.add(name);
			}
		}

		return ownKeys;
	}

	/** Watches a key until the signal, and again after a pause when an exception has ended the watch. */
	private async _runWatch(key: string, signal: AbortSignal): Promise<void> {
		while (!(await runTask(this._options, 'configuration-watch', async () => this._watch(key, signal)))) {
			await sleep(failurePauseMs * (0.5 + this._options.random()));
		}
	}

	private async _watch(key: string, signal: AbortSignal): Promise<void> {
		let index = this._getStartIndex(key);
		let retryMs = minRetryMs;
		while (!signal.aborted) {
			await this._waitForCall(signal);
			if (signal.aborted) {
				return;
			}

			const nextIndex = key === listingName ? await this._watchListing(index, signal) : await this._watchValue(key, index, signal);
			if (signal.aborted) {
				return;
			}

			if (nextIndex === undefined) {
				await sleep(retryMs * (0.5 + this._options.random()));
				retryMs = Math.min(maxRetryMs, retryMs * 2);
				// The service may have lost its data. It then responds at once to an index that it does not know, so the next call sends none.
				index = undefined;
			} else {
				retryMs = minRetryMs;
				index = nextIndex;
			}
		}
	}

	private _getStartIndex(key: string): number | undefined {
		const index = key === listingName ? this._listingIndex : this._options.configuration.getNewest(key)?.revision;
		return index === 0 ? undefined : index;
	}

	private async _watchValue(key: string, index: number | undefined, signal: AbortSignal): Promise<number | undefined> {
		const value = await this._call(async () => this._options.platform.readValue(this._addPrefix(key), {index, waitMs: this._options.waitMs, signal}), signal);
		if (value === undefined) {
			return undefined;
		}

		this._acceptValue(key, value);
		return value.watchIndex;
	}

	private async _watchListing(index: number | undefined, signal: AbortSignal): Promise<number | undefined> {
		const listing = await this._call(async () => this._options.platform.listKeys(this._addPrefix(''), {index, waitMs: this._options.waitMs, signal}), signal);
		if (listing === undefined) {
			return undefined;
		}

		for (const key of this._acceptListing(listing)) {
			if (this._rateLimiter.tryAcquire(this._options.clock.now())) {
				await this._readValue(key);
			}
		}

		return listing.watchIndex;
	}

	private async _readListing(): Promise<void> {
		await this._waitForCall(this._abort.signal);
		const {signal} = this._abort;
		const listing = await this._call(async () => this._options.platform.listKeys(this._addPrefix(''), {signal}), signal);
		if (listing !== undefined) {
			this._acceptListing(listing);
		}
	}

	/** Records new and deleted keys; returns the new ones. */
	private _acceptListing(listing: {readonly keys: readonly string[]; readonly watchIndex: number}): string[] {
		if (listing.watchIndex < this._listingIndex) {
			return [];
		}

		this._listingIndex = listing.watchIndex;
		const {configuration} = this._options;
		const listed = listing.keys.map(key => key.slice(this._options.prefix.length + 1)).filter(key => key === instancesKey || key.includes('/'));
		const newKeys = listed.filter(key => {
			const held = configuration.getNewest(key);
			return held === undefined || (held.text === undefined && listing.watchIndex > held.revision);
		});
		for (const key of newKeys) {
			configuration.markWanted(key, (configuration.getNewest(key)?.revision ?? 0) + 1);
		}

		this._acceptDeletions(new Set(listed), listing.watchIndex);
		return newKeys;
	}

	private _acceptDeletions(listed: ReadonlySet<string>, index: number): void {
		const {configuration, logger} = this._options;
		const held = configuration.keys.filter(key => configuration.getNewest(key)?.text !== undefined);
		const deleted = held.filter(key => !listed.has(key) && (configuration.getNewest(key)?.revision ?? 0) < index);
		if (deleted.length > maxDeletedKeys && deleted.length > held.length * maxDeletedShare) {
			logger.logError('configuration-deletion-refused', {keys: deleted.length, index});
			return;
		}

		for (const key of deleted) {
			configuration.offerEntry({
				key, revision: index, text: undefined, digest: computeDigest(''),
			}, undefined);
		}
	}

	private async _readValue(key: string): Promise<void> {
		const {signal} = this._abort;
		const value = await this._call(async () => this._options.platform.readValue(this._addPrefix(key), {signal}), signal);
		if (value !== undefined) {
			this._acceptValue(key, value);
		}
	}

	private _acceptValue(key: string, value: PlatformValue): void {
		if (value.text !== undefined) {
			this._options.configuration.offerEntry({
				key, revision: value.modifyIndex, text: value.text, digest: computeDigest(value.text),
			}, undefined);
		}
	}

	/** Makes one call and records whether the service can be read. */
	private async _call<T>(call: () => Promise<Result<T, Error>>, signal: AbortSignal): Promise<T | undefined> {
		this._callCount++;
		const result = await call();
		if (signal.aborted) {
			return undefined;
		}

		if (result.isOk()) {
			this._failureCount = 0;
			this._lastReadAt = this._options.clock.now();
			this._options.members.markCanRead(true);
			return result.value;
		}

		this._failureCount++;
		if (this._failureCount === maxConsecutiveFailures) {
			this._options.members.markCanRead(false);
			this._options.logger.logError('platform-unreadable', {failures: this._failureCount});
		}

		return undefined;
	}

	private async _tick(): Promise<void> {
		const now = this._options.clock.now();
		const wanted = this._options.configuration.listWanted();
		const wantedKeys = new Set(wanted.map(({key}) => key));
		for (const key of this._readDueAt.keys()) {
			if (!wantedKeys.has(key)) {
				this._readDueAt.delete(key);
			}
		}

		for (const {key, since} of wanted) {
			const dueAt = this._readDueAt.get(key) ?? this._scheduleRead(key, since);
			if (now >= dueAt && this._rateLimiter.tryAcquire(now)) {
				this._readDueAt.set(key, now + readDelayMs + (readJitterMs * this._options.random()));
				await this._readValue(key);
			}
		}

		if (now >= this._auditAt && this._rateLimiter.tryAcquire(now)) {
			this._auditAt = now + (auditIntervalMs * (0.5 + this._options.random()));
			await this._auditNext();
		}
	}

	private _scheduleRead(key: string, since: number): number {
		const [delayMs, jitterMs] = this._isStarting ? [startupReadDelayMs, startupReadJitterMs] : [readDelayMs, readJitterMs];
		const dueAt = since + delayMs + (jitterMs * this._options.random());
		this._readDueAt.set(key, dueAt);
		return dueAt;
	}

	/** Reads the keys in turn at long intervals, so that updates missed by a stalled reader are found. */
	private async _auditNext(): Promise<void> {
		const {keys} = this._options.configuration;
		const names = [...keys, listingName];
		const name = names[this._auditIndex++ % names.length] ?? listingName;
		await (name === listingName ? this._readListing() : this._readValue(name));
	}

	private async _waitForCall(signal: AbortSignal): Promise<void> {
		while (!signal.aborted && !this._rateLimiter.tryAcquire(this._options.clock.now())) {
			await sleep(tickMs * (0.5 + this._options.random()));
		}
	}

	private _addPrefix(key: string): string {
		return `${this._options.prefix}/${key}`;
	}
}
