import type {Result} from 'neverthrow';
import type {Clock} from '../../common/clock.js';
import type {SiteRegistry} from '../../common/gateway/site-registry.js';
import {RegistryFailure} from '../../common/gateway/registry-failure.js';
import type {RegistryError} from '../../common/gateway/registry-error.js';
import type {StorePosition} from '../../common/gateway/store-position.js';
import type {Logger} from '../../common/logger.js';
import type {Metrics} from '../../common/metrics.js';
import {isNewerEvacuation} from '../../policy/gateway/is-newer-evacuation.js';
import {canRepeatCheck} from '../../policy/gateway/can-repeat-check.js';
import {RevisionRegression} from '../../policy/gateway/revision-regression.js';
import {CheckResult} from './check-result.js';
import type {SiteView} from './site-view.js';

type OperatorReaderOptions = {
	readonly source: SiteRegistry;
	readonly view: SiteView;
	readonly logger: Logger;
	readonly metrics: Metrics;
	readonly clock: Clock;
	readonly random: () => number;
	/** Ends the reads. */
	readonly signal: AbortSignal;
	/** Whether reads of the targets fail; those of the configuration would fail as well. */
	readonly hasFailures: () => boolean;
	/** Decides whether this instance reads now. */
	readonly checkReading: () => boolean;
	/** Called with false after each failed read. */
	readonly onRead: (canRead: boolean) => void;
	readonly pause: (ms: number) => Promise<void>;
};

/** Interval at which an instance that does not read checks whether it has to, in ms. */
const pollIntervalMs = 100;
/** Pause after a read that failed or found no configuration, in ms. */
const readRetryPauseMs = 400;
/** Pause after a change has been read before the next one is awaited, in ms, so that several changes in quick succession need fewer reads. */
const changePauseMs = 100;
/** Pause after a wait that failed, in ms. A random addition of up to the same time keeps instances from calling at the same time. */
const backoffMs = 150;
/**
Age up to which a held set of evacuations is checked for changes instead of being read again, in ms. It covers what reading instances and messages from
peers take while processes are busy; a registry without an era that was restored meanwhile and has passed the held revision cannot be told from one that was not.
*/
const maxCheckedAgeMs = 4000;

/** Reads what operators write: the configuration and, where the site has them, the evacuations. Each is read again only when it has changed or may have. */
export class OperatorReader {
	private readonly _regression = new RevisionRegression();
	private _canReadConfiguration = true;
	private _canReadEvacuations = true;
	private _isConfigurationDue = true;
	private _areEvacuationsDue = true;
	/** Whether the held evacuations may be the newest, so that a check can replace a read. */
	private _isCheckDue = true;
	/** Whether the registry was asked for its state since the reads began; without one, an empty set of evacuations has no revision. */
	private _isPositionAsked = false;
	private _readVersion = 0;
	private _evacuationsReadAt: StorePosition = {era: 0, revision: 0};

	constructor(private readonly _options: OperatorReaderOptions) {}

	/** Whether the last reads succeeded. */
	get canRead(): boolean {
		return this._canReadConfiguration && this._canReadEvacuations;
	}

	/** Runs the reads until the signal. */
	async run(): Promise<void> {
		const {signal, hasFailures, checkReading, pause} = this._options;
		this._markAllDue();
		while (!signal.aborted) {
			if (hasFailures() || !checkReading()) {
				this._markAllDue();
				await pause(pollIntervalMs);
				continue;
			}

			if (await this._readDue()) {
				await this._watch();
			} else {
				await pause(readRetryPauseMs);
				// Nothing was watched, so what was read before may have changed.
				this._markAllDue();
			}
		}
	}

	/** Reads after each change until this instance no longer has to read, or a read fails. */
	private async _watch(): Promise<void> {
		const {source, view, signal, checkReading, pause, random} = this._options;
		let isRead = true;
		while (isRead && checkReading() && !signal.aborted) {
			const waited = await source.waitForChange();
			this._countRead('changes', waited);
			if (waited.isErr()) {
				this._options.logger.logInfo('configuration-watch-lost', {...waited.error});
				await pause(backoffMs * (1 + random()));
				this._markAllDue();
			} else {
				this._isConfigurationDue = waited.value.hasConfiguration;
				this._areEvacuationsDue = waited.value.hasEvacuations;
				if (!this._isConfigurationDue) {
					view.confirmConfiguration(this._readVersion, 0);
				}

				// Peers may have sent a set of another generation meanwhile, which the registry does not confirm.
				this._areEvacuationsDue ||= view.operator.tracksEvacuations && !view.operator.confirmEvacuations(this._evacuationsReadAt, waited.value.upTo);
			}

			if (this._isConfigurationDue || this._areEvacuationsDue) {
				isRead = await this._readDue();
				await pause(changePauseMs);
			}
		}
	}

	private _markAllDue(): void {
		this._isConfigurationDue = true;
		this._areEvacuationsDue = true;
		this._isCheckDue = true;
		this._isPositionAsked = false;
	}

	/** Reads what has changed; returns whether all of it was read. What was not stays due. */
	private async _readDue(): Promise<boolean> {
		const hasEvacuations = this._options.view.operator.tracksEvacuations;
		// Evacuations are small and urgent. Where none exist the store states no revision for them, so while none is known they follow the configuration.
		if (this._areEvacuationsDue && hasEvacuations && (this._isCheckDue || this._isPositionAsked)) {
			this._areEvacuationsDue = !(await this._refreshEvacuations());
		}

		if (this._isConfigurationDue) {
			this._isConfigurationDue = !(await this._readConfiguration());
			if (this._areEvacuationsDue && hasEvacuations) {
				this._areEvacuationsDue = !(await this._refreshEvacuations());
			}
		}

		return !this._isConfigurationDue && !(this._areEvacuationsDue && hasEvacuations);
	}

	private async _readConfiguration(): Promise<boolean> {
		const {source, view, clock} = this._options;
		const startedAt = clock.now();
		const heldVersion = view.configuration?.version ?? 0;
		const read = await source.readConfiguration();
		this._countRead('configuration', read);
		this._canReadConfiguration = read.isOk();
		this._isPositionAsked = true;
		if (read.isErr()) {
			this._options.logger.logError('configuration-read-failed', {...read.error});
			this._options.onRead(false);
			return false;
		}

		if (read.value === undefined) {
			return false;
		}

		if (read.value.version < heldVersion) {
			this._options.logger.logError('configuration-older', {version: read.value.version, activeVersion: heldVersion});
		}

		// The registry holds nothing newer than what was active before the call, even if it was restored with an older version.
		this._readVersion = Math.max(read.value.version, heldVersion);
		const ageMs = clock.now() - startedAt;
		if (read.value.version > heldVersion) {
			this._options.logger.logInfo('configuration-read', {version: read.value.version, tookMs: Math.round(ageMs)});
		}

		view.offerConfiguration(read.value, ageMs);
		view.confirmConfiguration(this._readVersion, ageMs);
		return true;
	}

	/** Checks whether the held evacuations have to be read: confirms them when they have not changed. A failed check is repeated, since a read would fail as well. */
	private async _checkEvacuations(): Promise<CheckResult> {
		const {source, view: {operator}, onRead} = this._options;
		const held = operator.evacuationOrder;
		if (held.revision === 0 || operator.evacuationsAgeMs > maxCheckedAgeMs) {
			this._isCheckDue = false;
			return CheckResult.ReadDue;
		}

		const checked = await source.checkEvacuations(held);
		this._countRead('evacuation-check', checked);
		this._canReadEvacuations = checked.isOk() || !canRepeatCheck(checked.error.failure);
		if (!this._canReadEvacuations) {
			onRead(false);
			return CheckResult.Failed;
		}

		this._isCheckDue = false;
		this._isPositionAsked ||= checked.isOk();
		if (checked.isErr() || checked.value === undefined || !operator.confirmEvacuations(held, checked.value)) {
			return CheckResult.ReadDue;
		}

		this._evacuationsReadAt = held;
		return CheckResult.Confirmed;
	}

	/** Reads the evacuations, or confirms the held ones by a check; returns whether this instance has the newest. */
	private async _refreshEvacuations(): Promise<boolean> {
		const result = this._isCheckDue ? await this._checkEvacuations() : CheckResult.ReadDue;
		switch (result) {
			case CheckResult.Confirmed: {
				return true;
			}

			case CheckResult.Failed: {
				return false;
			}

			case CheckResult.ReadDue: {
				return this._isPositionAsked && this._readEvacuations();
			}
		}
	}

	private async _readEvacuations(): Promise<boolean> {
		const {source, view, clock, logger} = this._options;
		const startedAt = clock.now();
		const held = view.operator.evacuationOrder;
		const read = await source.readEvacuations();
		this._countRead('evacuations', read);
		this._canReadEvacuations = read.isOk();
		if (read.isErr()) {
			logger.logError('evacuations-read-failed', {...read.error});
			this._options.onRead(false);
			this._isConfigurationDue ||= read.error.failure === RegistryFailure.HistoryLost;
			return false;
		}

		const {era, revision} = read.value;
		const set = {...read.value, generation: held.generation};
		const isOlder = isNewerEvacuation(held, set);
		const isAccepted = this._regression.noteAnswer(isOlder, clock.now());
		if (isOlder) {
			logger.logError('evacuations-older', {
				era, revision, heldEra: held.era, heldRevision: held.revision, isAccepted,
			});
		}

		if (!isOlder || isAccepted) {
			this._evacuationsReadAt = {era, revision};
			view.operator.offerEvacuations(isAccepted ? {...set, generation: held.generation + 1} : set, clock.now() - startedAt);
		}

		return !isOlder || isAccepted;
	}

	private _countRead(subject: string, read: Result<unknown, RegistryError>): void {
		this._options.metrics.countEvent('registry.reads', {subject, result: read.isOk() ? 'read' : read.error.failure});
	}
}
