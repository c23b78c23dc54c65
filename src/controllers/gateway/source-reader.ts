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
	/** Whether the others of its failure domain learn from this instance. */
	readonly isHub: () => boolean;
	/** Called after each read of the list of targets; the view holds it already. */
	readonly onTargetsRead: (isRead: boolean) => void;
	readonly clock: Clock;
	readonly random: () => number;
	/** Whether the first reads wait until peers are known, so that only a few instances read at the first start of a site. */
	readonly waitsForPeers: boolean;
};

/** Time between two reads of the list of targets, in ms; with a reader's loss, noticed within 0.6 s, it stays below the 2 s in which a leaving target is left. */
const readIntervalMs = 1000;
/** Age of the view from which an instance reads for itself, in ms; reads are 1 s apart, and peers are asked every 0.3 s. */
const staleAfterMs = 1500;
/** The same for a hub, in ms: it is told of each read, and the others of its domain wait for it. */
const hubStaleAfterMs = 1200;
/** Time for which an instance that nobody told goes on to read, in ms: the age of the list does not show that of the configuration. */
const standInMs = 4000;
/** Time in which instances that start together get to know each other, in ms; callers come 10 s after the first start. */
const peersKnownMs = 1500;
/** Pause between two checks whether this instance has to read, in ms. */
const idlePauseMs = 200;
/** Pause while there is no configuration yet, in ms. */
const unconfiguredPauseMs = 400;
/** Pause after a failed call, in ms, doubled by chance so that instances do not call together. */
const failedPauseMs = 150;

/** The same where a hub would tell of a success, in ms: calls in vain are priced. */
const idleFailedPauseMs = 1000;

/** Reads configuration and targets from the site's registry: always on a few instances, on the others while nobody tells them. */
export class SourceReader implements DisposableLike {
	private readonly _ending = new AbortController();
	private _isReachable = true;
	private _standInUntil = Number.NEGATIVE_INFINITY;

	constructor(private readonly _options: SourceReaderOptions) {}

	/** Starts reading; the first reads are this instance's own. */
	async start(): Promise<void> {
		if (this._options.waitsForPeers) {
			await this._pause(peersKnownMs);
		}

		await Promise.all([this._runTargets(), this._runConfiguration()]);
	}

	dispose(): void {
		this._ending.abort();
	}

	/** Whether this instance reads now: for the others, or since nobody tells it. */
	get isReading(): boolean {
		const {view, clock, isReader, isHub, waitsForPeers} = this._options;
		const isLeftAlone = !waitsForPeers && !view.isComplete;
		const now = clock.now();
		if (view.isComplete && view.listAgeMs > (isHub() ? hubStaleAfterMs : staleAfterMs)) {
			this._standInUntil = now + standInMs;
		}

		return isReader() || isLeftAlone || now < this._standInUntil;
	}

	private async _runTargets(): Promise<void> {
		const {source, view} = this._options;
		while (!this._ending.signal.aborted) {
			if (this.isReading) {
				const read = await source.readTargets();
				this._countRead('targets', read);
				if (read.isOk()) {
					this._noteReachable();
					view.offerTargets(read.value);
				} else {
					this._noteFailure('targets', read.error);
				}

				this._options.onTargetsRead(read.isOk());
				await this._pause(read.isOk() ? readIntervalMs : this._failedPauseMs);
			} else {
				await this._pause(idlePauseMs);
			}
		}
	}

	private async _runConfiguration(): Promise<void> {
		while (!this._ending.signal.aborted) {
			if (!this.isReading) {
				await this._pause(idlePauseMs);
				continue;
			}

			const isRead = await this._readConfiguration();
			await (isRead ? this._watchConfiguration() : this._pause(Math.max(unconfiguredPauseMs, this._failedPauseMs)));
		}
	}

	/** Reads the configuration after each change, until this instance no longer has to; a change that was seen is always read. */
	private async _watchConfiguration(): Promise<void> {
		const {source} = this._options;
		let isRead = true;
		while (isRead && this.isReading && !this._ending.signal.aborted) {
			const waited = await source.waitForChange();
			this._countRead('changes', waited);
			if (waited.isErr()) {
				this._noteFailure('configuration-changes', waited.error);
				await this._pause(this._failedPauseMs);
			}

			if (waited.isErr() || waited.value) {
				isRead = await this._readConfiguration();
			}
		}
	}

	private async _readConfiguration(): Promise<boolean> {
		const read = await this._options.source.readConfiguration();
		this._countRead('configuration', read);
		if (read.isErr()) {
			this._noteFailure('configuration', read.error);
			return false;
		}

		this._noteReachable();
		if (read.value === undefined) {
			return false;
		}

		this._options.view.offerConfiguration(read.value);
		return true;
	}

	private _countRead(subject: string, read: Result<unknown, SourceError>): void {
		this._options.metrics.countEvent('registry.reads', {subject, result: read.isOk() ? 'read' : read.error.failure});
	}

	private get _failedPauseMs(): number {
		return (this._options.isHub() ? failedPauseMs : idleFailedPauseMs) * (1 + this._options.random());
	}

	private _noteReachable(): void {
		if (!this._isReachable) {
			this._isReachable = true;
			this._options.logger.logInfo('registry-regained', {listAgeMs: Math.round(this._options.view.listAgeMs)});
		}
	}

	private _noteFailure(subject: string, error: SourceError): void {
		if (this._isReachable) {
			this._isReachable = false;
			this._options.logger.logError('registry-lost', {subject, ...error});
		}
	}

	private async _pause(ms: number): Promise<void> {
		try {
			await sleep(ms, undefined, {signal: this._ending.signal});
		} catch {
			// The end of the instance cuts the pause short.
		}
	}
}
