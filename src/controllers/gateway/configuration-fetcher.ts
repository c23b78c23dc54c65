import type {Clock} from '../../common/clock.js';
import type {DisposableLike} from '../../common/disposable-like.js';
import type {ConfigurationHolder} from '../../common/gateway/configuration-holder.js';
import {PeerFailureKind} from '../../common/gateway/peer-failure-kind.js';
import type {Logger} from '../../common/logger.js';
import type {Metrics} from '../../common/metrics.js';
import {RateLimitedLogger} from '../../io/gateway/rate-limited-logger.js';
import type {SyncClient} from '../../io/gateway/sync-client.js';
import {runTask} from '../../io/run-task.js';
import {HolderChooser} from '../../policy/gateway/holder-chooser.js';
import type {SiteView} from './site-view.js';

type ConfigurationFetcherOptions = {
	readonly client: Pick<SyncClient, 'fetchConfiguration'>;
	readonly view: SiteView;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: Metrics;
	/** Lists the instances that have a newer configuration than a version, the preferred first. */
	readonly listHolders: (version: number) => readonly ConfigurationHolder[];
};

/** Transfers that may run at the same time; another peer is asked when those in progress are slow. With two, peers that are silent could take all until the time limit of a transfer. */
const maxConcurrentFetches = 3;
/** Time after which a transfer counts as slow, in ms; it may still succeed. */
const slowFetchMs = 400;
/** Time for which a peer that could not be reached is not asked again, in ms. */
const retryPauseMs = 300;
/** Lines logged per second for configurations that are refused. */
const refusalLinesPerSecond = 5;

/** Fetches the configuration from peers that announce a newer one: from one at a time, unless that one is slow. */
export class ConfigurationFetcher implements DisposableLike {
	/** Start of each transfer in progress by the id of the peer, in ms. */
	private readonly _startedAt = new Map<string, number>();
	private readonly _chooser = new HolderChooser();
	private readonly _refusalLogger: Pick<Logger, 'logError'>;
	private _checkTimer: NodeJS.Timeout | undefined;
	private _isDisposed = false;

	constructor(private readonly _options: ConfigurationFetcherOptions) {
		const {logger, clock} = _options;
		this._refusalLogger = new RateLimitedLogger({logger, clock, linesPerSecond: refusalLinesPerSecond});
	}

	/** Starts a fetch if a peer has a newer configuration and no other peer is sending one in time. Called after each message and in each round. */
	fetchNewer(): void {
		const {view, listHolders, clock} = this._options;
		const now = clock.now();
		const isWaiting = [...this._startedAt.values()].some(startedAt => now - startedAt < slowFetchMs);
		if (this._isDisposed || isWaiting || this._startedAt.size >= maxConcurrentFetches) {
			return;
		}

		const holder = this._chooser.chooseHolder(listHolders(view.version.configuration), new Set(this._startedAt.keys()), now);
		if (holder !== undefined) {
			void runTask(this._options, 'configuration-fetch', async () => {
				try {
					await this._fetchFrom(holder);
				} finally {
					this._startedAt.delete(holder.id);
				}
			});
			this._scheduleCheck(slowFetchMs);
		}
	}

	dispose(): void {
		this._isDisposed = true;
		clearTimeout(this._checkTimer);
	}

	/** Looks again for a holder after a time, when a transfer may have become slow or a peer may be asked again. */
	private _scheduleCheck(ms: number): void {
		clearTimeout(this._checkTimer);
		this._checkTimer = setTimeout(() => {
			this.fetchNewer();
		}, ms);
	}

	private async _fetchFrom(holder: ConfigurationHolder): Promise<void> {
		const {client, view, logger, clock} = this._options;
		const {id, peerAddress, announcedVersion} = holder;
		const startedAt = clock.now();
		const getActiveVersion = (): number => view.version.configuration;
		this._startedAt.set(id, startedAt);
		const fetched = await client.fetchConfiguration(peerAddress, getActiveVersion);
		this._startedAt.delete(id);
		if (this._isDisposed) {
			return;
		}

		if (fetched.isOk()) {
			if (fetched.value !== undefined) {
				const {configuration, ageMs} = fetched.value;
				logger.logInfo('configuration-fetched', {peer: id, version: configuration.version, tookMs: Math.round(clock.now() - startedAt)});
				view.offerConfiguration(configuration, ageMs);
			} else if (getActiveVersion() < announcedVersion) {
				this._refuse(holder, {field: '(root)', detail: `no version above ${getActiveVersion()}, which the peer has announced`});
			}

			return;
		}

		switch (fetched.error.kind) {
			case PeerFailureKind.Unreachable: {
				logger.logInfo('configuration-fetch-failed', {
					peer: id, version: announcedVersion, error: fetched.error.detail, tookMs: Math.round(clock.now() - startedAt),
				});
				this._chooser.excludeUntil(holder, clock.now() + retryPauseMs);
				this._scheduleCheck(retryPauseMs);
				this.fetchNewer();
				break;
			}

			case PeerFailureKind.Refused: {
				this._refuse(holder, fetched.error);
			}
		}
	}

	private _refuse(holder: ConfigurationHolder, {field, detail}: {readonly field: string; readonly detail: string}): void {
		this._chooser.refuse(holder);
		this._refusalLogger.logError('peer-configuration-refused', {
			peer: holder.id, version: holder.announcedVersion, field, detail,
		});
		// Another holder may have a valid one.
		this.fetchNewer();
	}
}
