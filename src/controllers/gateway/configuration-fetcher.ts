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

/** Fetches that may run at the same time; a second peer is asked when the first is slow. */
const maxConcurrentFetches = 2;
/** Lines logged per second for configurations that are refused. */
const refusalLinesPerSecond = 5;

/** Fetches the configuration from peers that announce a newer one. */
export class ConfigurationFetcher implements DisposableLike {
	private readonly _fetching = new Set<string>();
	private readonly _chooser = new HolderChooser();
	private readonly _refusalLogger: Pick<Logger, 'logError'>;
	private _isDisposed = false;

	constructor(private readonly _options: ConfigurationFetcherOptions) {
		const {logger, clock} = _options;
		this._refusalLogger = new RateLimitedLogger({logger, clock, linesPerSecond: refusalLinesPerSecond});
	}

	/** Starts a fetch if a peer has a newer configuration. Called after each message and in each round. */
	fetchNewer(): void {
		const {view, listHolders} = this._options;
		const holder = this._chooser.chooseHolder(listHolders(view.version.configuration), this._fetching);
		if (holder !== undefined && this._fetching.size < maxConcurrentFetches) {
			void runTask(this._options, 'configuration-fetch', async () => {
				try {
					await this._fetchFrom(holder);
				} finally {
					this._fetching.delete(holder.id);
				}
			});
		}
	}

	dispose(): void {
		this._isDisposed = true;
	}

	private async _fetchFrom(holder: ConfigurationHolder): Promise<void> {
		const {client, view, logger, clock} = this._options;
		const {id, peerAddress, announcedVersion} = holder;
		const startedAt = clock.now();
		const {configuration: version} = view.version;
		this._fetching.add(id);
		const fetched = await client.fetchConfiguration(peerAddress, version);
		this._fetching.delete(id);
		if (this._isDisposed) {
			return;
		}

		if (fetched.isOk()) {
			if (fetched.value === undefined) {
				this._refuse(holder, {field: '(root)', detail: `no version above ${version}, which the peer has announced`});
			} else {
				const {configuration, ageMs} = fetched.value;
				logger.logInfo('configuration-fetched', {peer: id, version: configuration.version, tookMs: Math.round(clock.now() - startedAt)});
				view.offerConfiguration(configuration, ageMs);
			}

			return;
		}

		switch (fetched.error.kind) {
			case PeerFailureKind.Unreachable: {
				logger.logInfo('configuration-fetch-failed', {
					peer: id, version: announcedVersion, error: fetched.error.detail, tookMs: Math.round(clock.now() - startedAt),
				});
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
