import {setTimeout as sleep} from 'node:timers/promises';
import type {Result} from 'neverthrow';
import type {Clock} from '../../common/clock.js';
import type {DisposableLike} from '../../common/disposable-like.js';
import type {SiteRegistry} from '../../common/gateway/site-registry.js';
import {RegistryFailure} from '../../common/gateway/registry-failure.js';
import type {RegistryError} from '../../common/gateway/registry-error.js';
import type {Logger} from '../../common/logger.js';
import type {Metrics} from '../../common/metrics.js';
import {runTask} from '../../io/run-task.js';
import {canRepeatCheck} from '../../policy/gateway/can-repeat-check.js';
import {CheckResult} from './check-result.js';
import {OperatorReader} from './operator-reader.js';
import {RevisionChecker} from './revision-checker.js';
import type {SiteView} from './site-view.js';

type RegistryReaderOptions = {
	readonly source: SiteRegistry;
	readonly view: SiteView;
	readonly logger: Logger;
	readonly metrics: Metrics;
	/** Whether this instance is the reader, which reads the registry for the fleet. */
	readonly isReader: () => boolean;
	/** Whether this instance is a standby reader, one of the next to read when the reader is lost. */
	readonly isStandbyReader: () => boolean;
	/** Whether this instance has joined the fleet: false while it has other seeds but knows no other instance. */
	readonly isJoined: () => boolean;
	/** Called after each read of the targets and each failed read of the configuration or the evacuations, with whether this instance can read the registry. */
	readonly onRead: (canRead: boolean) => void;
	readonly clock: Clock;
	readonly random: () => number;
	/** Whether the first reads wait until peers are known, so that only one instance reads when a site is started for the first time. */
	readonly waitsForPeers: boolean;
	/** Time within which a change of the targets has to be active, in ms. */
	readonly targetChangeMs: number;
	/** Time within which a change of the configuration has to be active, in ms. */
	readonly configurationChangeMs: number;
};

/** Age of the list above which a standby reader reads it, as a fraction of the time within which a change has to be active. */
const standbyAgeShare = 0.6;
/** The same fraction for all other instances. */
const otherAgeShare = 0.65;
/** Largest random addition to that fraction, so that a few instances read first and inform the rest. */
const otherAgeJitter = 0.15;
/**
Fraction of the time within which a change has to be active after which configuration and evacuations are read that have not been confirmed, as the
reader does once a second. It may exceed 1: peers announce a change at once, so an old confirmation seldom means a missed one.
*/
const configurationAgeShare = 1.25;
/** Time after which an announced configuration that has not arrived is read, as a fraction of the time within which it has to be active; the read takes up to a second. */
const configurationLagShare = 0.3;
/** Largest random addition to that fraction, so that a few instances read first and pass it on to the rest. */
const configurationLagJitter = 0.15;
/** Time in which the reader confirms a configuration that has not changed, in ms. An announced one that was published just after the last confirmation is older than its announcement by more when the reader was lost. */
const confirmationIntervalMs = 1000;
/** Time for which an instance whose view has become too old reads for itself, in ms. It goes on although its own reads make the view fresh, which does not show that peers send it in time again. */
const fallbackReadMs = 4000;
/** Time in which instances that start together discover each other, in ms. With less, several would read the registry; with much more, the view would be incomplete when callers arrive, 10 s after the first start. */
const peerDiscoveryMs = 1500;
/** Time after the start in which peers may send configuration and targets before an instance reads them itself, in ms. */
const peerSyncMs = 600;
/** Largest random addition to that time, in ms, so that a few instances read first when all have started. */
const peerSyncJitterMs = 400;
/** Interval at which an instance that does not read checks whether it has to, in ms. */
const pollIntervalMs = 100;
/** Pause after changes of targets before the next ones are awaited, in ms, so that several in quick succession need fewer calls; replacing the targets of a service takes many changes, and each call has a cost. */
const targetChangePauseMs = 500;
/** Wait for further changes after that pause, in ms. With a longer one, the list would be confirmed too late for a standby reader, which would read as well after each change. */
const waitAfterChangeMs = 500;
/** Age up to which a held list is checked for changes instead of being read again, in ms; see the same limit of the evacuations. */
const maxCheckedAgeMs = 4000;
/** Wait of a watch that only checks whether something has changed, in ms. */
const checkWaitMs = 1;
/** Pause between reads of the list whose revisions are lower than one seen before, in ms. */
const regressionPauseMs = 250;
/** Pause after a failed call, in ms. A random addition of up to the same time keeps instances from calling at the same time. */
const backoffMs = 150;
/**
The same for instances other than the reader and the standby readers, in ms. It doubles with each further failure, since failed calls have a
cost, and the readers announce a success to these instances.
*/
const fallbackBackoffMs = 1000;
/** Largest number of such doublings. */
const maxBackoffDoublings = 2;

/** Reads configuration, evacuations and targets from the site's registry: always on the reader, on other instances only while their own view is too old. */
export class RegistryReader implements DisposableLike {
	private readonly _abortController = new AbortController();
	/** Time from which this instance reads what its peers have not sent since the start, in ms. */
	private readonly _readsWithoutPeersAt: number;
	/** Age of the list of targets above which this instance reads it, unless it is a standby reader, in ms. */
	private readonly _ageLimitMs: number;
	/** Time for which an announced configuration may be missing before this instance reads it, in ms. */
	private readonly _lagLimitMs: number;
	private readonly _revisions: RevisionChecker;
	private readonly _operatorReader: OperatorReader;
	private _failures = 0;
	/** Time until which this instance reads for itself since its view was too old, in ms. */
	private _fallbackUntil = Number.NEGATIVE_INFINITY;

	constructor(private readonly _options: RegistryReaderOptions) {
		const {clock, random, targetChangeMs, configurationChangeMs} = _options;
		this._readsWithoutPeersAt = clock.now() + peerSyncMs + (peerSyncJitterMs * random());
		this._revisions = new RevisionChecker(_options);
		this._operatorReader = new OperatorReader({
			..._options,
			signal: this._abortController.signal,
			// Other instances have read what is announced, so failed reads of the targets do not show that it cannot be read.
			hasFailures: () => this._failures > 0 && !this._lacksAnnouncedConfiguration,
			checkReading: () => this.checkReading() || this._lacksAnnouncedConfiguration,
			pause: async ms => this._pause(ms),
		});
		this._ageLimitMs = targetChangeMs * (otherAgeShare + (otherAgeJitter * random()));
		this._lagLimitMs = configurationChangeMs * (configurationLagShare + (configurationLagJitter * random()));
	}

	/** Runs the reads of targets and configuration, and resolves after the disposal. */
	async start(): Promise<void> {
		if (this._options.waitsForPeers) {
			await this._pause(peerDiscoveryMs);
		}

		await Promise.all([
			this._runLoop('registry-targets', async () => this._runTargetLoop()),
			this._runLoop('registry-configuration', async () => this._operatorReader.run()),
		]);
	}

	dispose(): void {
		this._abortController.abort();
	}

	/**
	Decides whether this instance reads now: as the reader, because its view is too old, or because its peers have sent none in time (never at
	the first start of a site). When the view is too old, starts a period in which the instance keeps reading.
	*/
	checkReading(): boolean {
		const {view, clock, isReader, isStandbyReader, isJoined, waitsForPeers, targetChangeMs, configurationChangeMs} = this._options;
		const now = clock.now();
		// At the first start of a site, no peer has a view to send, so there is nothing to wait for.
		const isAwaitingSync = !waitsForPeers && now < this._readsWithoutPeersAt;
		if (!view.isComplete) {
			// An instance that has not joined may consider itself the reader by mistake, so it first lets peers send their view.
			// Peers of versions without evacuations send none, so an instance that lacks only these reads them also at the first start.
			return isReader() ? isJoined() || !isAwaitingSync : !isAwaitingSync && (!waitsForPeers || view.operator.lacksOnlyEvacuations);
		}

		const ageLimitMs = isStandbyReader() ? targetChangeMs * standbyAgeShare : this._ageLimitMs;
		const operatorAgeMs = Math.max(view.configurationAgeMs, view.operator.evacuationsAgeMs);
		if (view.targetsAgeMs > ageLimitMs || operatorAgeMs > configurationChangeMs * configurationAgeShare) {
			this._fallbackUntil = now + fallbackReadMs;
		}

		return isReader() || now < this._fallbackUntil;
	}

	/** Whether an announced configuration has been missing for so long that this instance reads it, and only it. */
	private get _lacksAnnouncedConfiguration(): boolean {
		const {view} = this._options;
		const lagMs = view.configurationLagMs;
		return view.isComplete && (lagMs > this._lagLimitMs || (lagMs > 0 && view.configurationAgeMs > this._lagLimitMs + confirmationIntervalMs));
	}

	/** Runs a loop until the disposal, and again after a pause when an exception has ended it. */
	private async _runLoop(task: string, run: () => Promise<void>): Promise<void> {
		while (!(await runTask(this._options, task, run))) {
			await this._pause(fallbackBackoffMs * (1 + this._options.random()));
		}
	}

	private async _runTargetLoop(): Promise<void> {
		const {source, view, clock} = this._options;
		let isCheckDue = true;
		while (!this._abortController.signal.aborted) {
			if (!this.checkReading()) {
				isCheckDue = true;
				await this._pause(pollIntervalMs);
				continue;
			}

			const result: CheckResult = isCheckDue ? await this._checkTargets() : CheckResult.ReadDue;
			isCheckDue = result === CheckResult.Failed;
			if (result !== CheckResult.ReadDue) {
				await (isCheckDue ? this._pause(this._backoffMs) : this._watchTargets());
				continue;
			}

			const startedAt = clock.now();
			const held = view.version;
			const read = await source.readTargets();
			this._noteTargetRead('targets', read);
			if (read.isErr()) {
				await this._pause(this._backoffMs);
				continue;
			}

			this._options.metrics.recordGauge('registry.refused_records', read.value.refusedCount ?? 0);
			if (!this._revisions.offerList(read.value, held, clock.now() - startedAt)) {
				await this._pause(regressionPauseMs);
				continue;
			}

			await this._watchTargets();
		}
	}

	/** Applies what has changed in the registry since the held list, so that it need not be read if that is all. */
	private async _checkTargets(): Promise<CheckResult> {
		const {source, view} = this._options;
		const held = view.version;
		const {tracksEvacuations, eraKnownMs, evacuationOrder: {era}} = view.operator;
		// The list has no era of its own: that of the evacuations must have been known when the list was confirmed.
		if (held.targets === 0 || held.targetsAgeMs > maxCheckedAgeMs || !tracksEvacuations || eraKnownMs < held.targetsAgeMs) {
			return CheckResult.ReadDue;
		}

		const changes = await source.waitForTargetChanges({since: held.targets, era, maxWaitMs: checkWaitMs});
		if (changes.isErr() && !canRepeatCheck(changes.error.failure)) {
			// The read that follows shows whether the registry can be read.
			this._countRead('target-check', changes);
			return CheckResult.ReadDue;
		}

		this._noteTargetRead('target-check', changes);
		if (changes.isErr()) {
			return CheckResult.Failed;
		}

		return this._revisions.offerEvents(changes.value, held) ? CheckResult.Confirmed : CheckResult.ReadDue;
	}

	/** Applies changes of the targets until this instance no longer has to read, or until the complete list has to be read again. */
	private async _watchTargets(): Promise<void> {
		const {source, view} = this._options;
		let maxWaitMs: number | undefined;
		while (this.checkReading() && !this._abortController.signal.aborted) {
			const held = view.version;
			const waited = await source.waitForTargetChanges(maxWaitMs === undefined ? {} : {maxWaitMs});
			maxWaitMs = undefined;
			this._noteTargetRead('target-changes', waited);
			if (waited.isErr()) {
				if (waited.error.failure === RegistryFailure.HistoryLost) {
					return;
				}

				await this._pause(this._backoffMs);
			} else if (!this._revisions.offerEvents(waited.value, held)) {
				return;
			} else if (waited.value.changed.length + waited.value.removed.length > 0) {
				await this._pause(targetChangePauseMs);
				maxWaitMs = waitAfterChangeMs;
			}
		}
	}

	private _noteTargetRead(subject: string, read: Result<unknown, RegistryError>): void {
		this._countRead(subject, read);
		if (read.isOk()) {
			this._recordSuccess();
		} else {
			this._recordFailure(subject, read.error);
		}

		this._options.onRead(read.isOk() && this._operatorReader.canRead);
	}

	private _countRead(subject: string, read: Result<unknown, RegistryError>): void {
		this._options.metrics.countEvent('registry.reads', {subject, result: read.isOk() ? 'read' : read.error.failure});
	}

	private get _backoffMs(): number {
		const {isReader, isStandbyReader, random} = this._options;
		const pauseMs = isReader() || isStandbyReader() ? backoffMs : fallbackBackoffMs * (2 ** Math.min(maxBackoffDoublings, this._failures - 1));
		return pauseMs * (1 + random());
	}

	private _recordSuccess(): void {
		if (this._failures > 0) {
			this._failures = 0;
			this._options.logger.logInfo('registry-regained', {targetsAgeMs: Math.round(this._options.view.targetsAgeMs)});
		}
	}

	private _recordFailure(subject: string, error: RegistryError): void {
		this._failures++;
		if (this._failures === 1) {
			this._options.logger.logError('registry-lost', {subject, ...error});
		}
	}

	private async _pause(ms: number): Promise<void> {
		try {
			await sleep(ms, undefined, {signal: this._abortController.signal});
		} catch {
			// The pause ends early on disposal.
		}
	}
}
