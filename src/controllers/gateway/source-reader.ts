import {setTimeout as sleep} from 'node:timers/promises';
import type {Result} from 'neverthrow';
import type {Clock} from '../../common/clock.js';
import type {DisposableLike} from '../../common/disposable-like.js';
import type {SiteSource} from '../../common/gateway/site-source.js';
import type {SourceError} from '../../common/gateway/source-error.js';
import type {Logger} from '../../common/logger.js';
import type {Metrics} from '../../common/metrics.js';
import type {SiteView} from './site-view.js';

type SourceReaderOptions = {
	readonly source: SiteSource;
	readonly view: SiteView;
	readonly logger: Logger;
	readonly metrics: Metrics;
	/** Whether this instance reads for the others. */
	readonly isReader: () => boolean;
	/** Whether this instance is among the next to read when the reader is lost. */
	readonly isDeputy: () => boolean;
	/** False while this instance should know others and has heard of none. */
	readonly isJoined: () => boolean;
	/** Called after each read with whether this instance's reads succeed. */
	readonly onRead: (canRead: boolean) => void;
	readonly clock: Clock;
	readonly random: () => number;
	/** Whether the first reads wait until peers are known, so that only one instance reads at the first start of a site. */
	readonly waitsForPeers: boolean;
	/** Time in which a change of the targets has to be in force, in ms. */
	readonly targetChangeMs: number;
	/** Time in which a change of the configuration has to be in force, in ms. */
	readonly configurationChangeMs: number;
};

/** Time between two reads of the list of targets, in ms; with a reader's loss it stays below the 2 s in which a leaving target is left. */
const readIntervalMs = 1000;
/** Age of the list from which a deputy reads for itself, as a share of the time in which a change has to be in force. */
const standbyAgeShare = 0.6;
/** The same for the others, and its chance part, which lets a few of them be first and tell the rest. */
const otherAgeShare = 0.65;
const otherAgeJitter = 0.15;
/** The same for the configuration, which the reader sees confirmed once a second: beyond the time itself, since a change is told at once. */
const configurationAgeShare = 1.25;
/** Time for which a newer configuration that peers told of may be missing, as a share of that in which it has to be in force; then it is read. */
const configurationLagShare = 0.25;
/** Time for which an instance that nobody told goes on to read, in ms. */
const fallbackReadMs = 4000;
/** Time in which instances that start together get to know each other, in ms; callers come 10 s after the first start. */
const peerDiscoveryMs = 1500;
/** Time that a started instance gives its peers to tell it all, in ms, and its chance part, which lets a few read first when all have started. */
const peerSyncMs = 600;
const peerSyncJitterMs = 400;
/** Pause between two checks whether this instance has to read, in ms. */
const pollIntervalMs = 100;
/** Pause while there is no configuration yet, in ms. */
const unconfiguredPauseMs = 400;
/** Pause after a change before the next one is waited for, in ms, so that a series of changes is read less often than it is made. */
const changePauseMs = 100;
/** Pause after a failed call, in ms, doubled by chance so that instances do not call together. */
const backoffMs = 150;
/** The same where the reader and its deputies would tell of a success, in ms, doubled with each failure up to a limit: calls in vain are priced. */
const fallbackBackoffMs = 1000;
const maxBackoffDoublings = 2;

/** Reads configuration and targets from the site's registry: on the reader always, on another instance when its own view gets old. */
export class SourceReader implements DisposableLike {
	private readonly _abortController = new AbortController();
	private readonly _readsWithoutPeersAt: number;
	private readonly _ageLimitMs: number;
	private _failures = 0;
	private _canReadConfiguration = true;
	private _readVersion = 0;
	private _fallbackUntil = Number.NEGATIVE_INFINITY;

	constructor(private readonly _options: SourceReaderOptions) {
		const {clock, random, targetChangeMs} = _options;
		this._readsWithoutPeersAt = clock.now() + peerSyncMs + (peerSyncJitterMs * random());
		this._ageLimitMs = targetChangeMs * (otherAgeShare + (otherAgeJitter * random()));
	}

	/** Starts reading. */
	async start(): Promise<void> {
		if (this._options.waitsForPeers) {
			await this._pause(peerDiscoveryMs);
		}

		await Promise.all([this._runTargetLoop(), this._runConfigurationLoop()]);
	}

	dispose(): void {
		this._abortController.abort();
	}

	/** Decides whether this instance reads now: for the others, or since nobody tells it; the latter holds for some time. */
	checkReading(): boolean {
		const {view, clock, isReader, isDeputy, isJoined, waitsForPeers, targetChangeMs, configurationChangeMs} = this._options;
		const now = clock.now();
		const isWaiting = !waitsForPeers && now < this._readsWithoutPeersAt;
		if (!view.isComplete) {
			return isReader() ? isJoined() || !isWaiting : !waitsForPeers && !isWaiting;
		}

		const ageLimitMs = isDeputy() ? targetChangeMs * standbyAgeShare : this._ageLimitMs;
		const isConfigurationOld = view.configurationAgeMs > configurationChangeMs * configurationAgeShare || view.configurationLagMs > configurationChangeMs * configurationLagShare;
		if (view.targetsAgeMs > ageLimitMs || isConfigurationOld) {
			this._fallbackUntil = now + fallbackReadMs;
		}

		return isReader() || now < this._fallbackUntil;
	}

	private async _runTargetLoop(): Promise<void> {
		const {source, view, clock} = this._options;
		while (!this._abortController.signal.aborted) {
			if (!this.checkReading()) {
				await this._pause(pollIntervalMs);
				continue;
			}

			const startedAt = clock.now();
			const read = await source.readTargets();
			this._countRead('targets', read);
			if (read.isOk()) {
				this._recordSuccess();
				view.offerTargets(read.value, clock.now() - startedAt);
			} else {
				this._recordFailure('targets', read.error);
			}

			this._options.onRead(read.isOk() && this._canReadConfiguration);
			await this._pause(read.isOk() ? readIntervalMs : this._backoffMs);
		}
	}

	private async _runConfigurationLoop(): Promise<void> {
		while (!this._abortController.signal.aborted) {
			// While the list cannot be read, reads of the configuration would fail as well.
			if (this._failures > 0 || !this.checkReading()) {
				await this._pause(pollIntervalMs);
				continue;
			}

			const isRead = await this._readConfiguration();
			await (isRead ? this._watchConfiguration() : this._pause(unconfiguredPauseMs));
		}
	}

	/** Reads the configuration after each change, until this instance no longer has to; a change that was seen is always read. */
	private async _watchConfiguration(): Promise<void> {
		const {source, view} = this._options;
		let isRead = true;
		while (isRead && this.checkReading() && !this._abortController.signal.aborted) {
			const waited = await source.waitForChange();
			this._countRead('changes', waited);
			if (waited.isErr()) {
				this._options.logger.logInfo('configuration-watch-lost', {...waited.error});
				await this._pause(backoffMs * (1 + this._options.random()));
			}

			if (waited.isErr() || waited.value) {
				isRead = await this._readConfiguration();
				await this._pause(changePauseMs);
			} else {
				view.confirmConfiguration(this._readVersion, 0);
			}
		}
	}

	private async _readConfiguration(): Promise<boolean> {
		const {source, view, clock} = this._options;
		const startedAt = clock.now();
		const read = await source.readConfiguration();
		this._countRead('configuration', read);
		this._canReadConfiguration = read.isOk();
		if (read.isErr()) {
			this._options.logger.logError('configuration-read-failed', {...read.error});
			this._options.onRead(false);
			return false;
		}

		if (read.value === undefined) {
			return false;
		}

		this._readVersion = read.value.version;
		view.offerConfiguration(read.value, clock.now() - startedAt);
		return true;
	}

	private _countRead(subject: string, read: Result<unknown, SourceError>): void {
		this._options.metrics.countEvent('registry.reads', {subject, result: read.isOk() ? 'read' : read.error.failure});
	}

	private get _backoffMs(): number {
		const {isReader, isDeputy, random} = this._options;
		const pauseMs = isReader() || isDeputy() ? backoffMs : fallbackBackoffMs * (2 ** Math.min(maxBackoffDoublings, this._failures - 1));
		return pauseMs * (1 + random());
	}

	private _recordSuccess(): void {
		if (this._failures > 0) {
			this._failures = 0;
			this._options.logger.logInfo('registry-regained', {targetsAgeMs: Math.round(this._options.view.targetsAgeMs)});
		}
	}

	private _recordFailure(subject: string, error: SourceError): void {
		this._failures++;
		if (this._failures === 1) {
			this._options.logger.logError('registry-lost', {subject, ...error});
		}
	}

	private async _pause(ms: number): Promise<void> {
		try {
			await sleep(ms, undefined, {signal: this._abortController.signal});
		} catch {
			// The end of the instance cuts the pause short.
		}
	}
}
