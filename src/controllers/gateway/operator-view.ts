import type {Clock} from '../../common/clock.js';
import type {DisposableLike} from '../../common/disposable-like.js';
import {Emitter} from '../../common/emitter.js';
import type {EvacuationOrder} from '../../common/gateway/evacuation-order.js';
import type {EvacuationSet} from '../../common/gateway/evacuation-set.js';
import type {GatewayConfiguration} from '../../common/gateway/gateway-configuration.js';
import type {StorePosition} from '../../common/gateway/store-position.js';
import type {SyncMessage} from '../../common/gateway/sync-message.js';
import type {ViewVersion} from '../../common/gateway/view-version.js';
import type {Logger} from '../../common/logger.js';
import {Evacuations} from '../../policy/gateway/evacuations.js';
import {getNewestConfiguration} from '../../policy/gateway/get-newest-configuration.js';
import {isNewerEvacuation} from '../../policy/gateway/is-newer-evacuation.js';

type OperatorViewOptions = {
	readonly clock: Clock;
	readonly logger: Logger;
	/** Time within which an evacuation has to be active, in ms; undefined when the site has none. */
	readonly evacuationMs?: number | undefined;
};

/** Time that a confirmation may take from the reader to this instance, over several busy instances, in ms; the ages that they state do not include it. */
const confirmationDelayMs = 1000;

const limitAge = (ageMs: number): number => Math.min(Number.MAX_SAFE_INTEGER, Math.round(ageMs));

/** What operators have written and this instance holds: the active configuration and the evacuated failure domains. Neither is ever replaced by an older one. */
export class OperatorView implements DisposableLike {
	private readonly _onConfiguration = new Emitter<GatewayConfiguration>();
	private readonly _onEvacuations = new Emitter<readonly string[]>();
	private readonly _onChange = new Emitter<true>();
	private readonly _evacuations: Evacuations | undefined;
	private _announcedDomains: readonly string[] = [];
	private _evacuationsConfirmedAt = Number.NEGATIVE_INFINITY;
	private _eraKnownAt = Number.POSITIVE_INFINITY;
	private _configuration: GatewayConfiguration | undefined;
	private _configurationConfirmedAt = Number.NEGATIVE_INFINITY;
	/** Time at which the registry last confirmed the active configuration to this instance itself, in ms. */
	private _configurationReadAt = Number.NEGATIVE_INFINITY;
	private _announcedVersion = 0;
	private _announcedAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly _options: OperatorViewOptions) {
		this._evacuations = _options.evacuationMs === undefined ? undefined : new Evacuations(_options.evacuationMs);
	}

	/** Fires with each newer configuration. */
	get onConfiguration() {
		return this._onConfiguration.event;
	}

	/** Fires with the evacuated domains when they have changed. */
	get onEvacuations() {
		return this._onEvacuations.event;
	}

	/** Fires when peers may lack what this instance knows: with a newer configuration, the announcement of one, or a newer set of evacuations. */
	get onChange() {
		return this._onChange.event;
	}

	/** The active configuration; undefined before the first one. */
	get configuration(): GatewayConfiguration | undefined {
		return this._configuration;
	}

	/** Whether a configuration is known, and the evacuations where the site has them. */
	get isComplete(): boolean {
		return this._configuration !== undefined && this._evacuations?.isKnown !== false;
	}

	/** Whether a configuration is known, but not the evacuations, which the site has. */
	get lacksOnlyEvacuations(): boolean {
		return this._configuration !== undefined && this._evacuations?.isKnown === false;
	}

	/** Whether the site has evacuations. */
	get tracksEvacuations(): boolean {
		return this._evacuations !== undefined;
	}

	/** What orders the held set of evacuations. */
	get evacuationOrder(): EvacuationOrder {
		return this._evacuations?.order ?? {generation: 0, era: 0, revision: 0};
	}

	/** Time for which this instance has known the era of the held evacuations, in ms; 0 when none are held. */
	get eraKnownMs(): number {
		return this._evacuations?.isKnown === true ? this._options.clock.now() - this._eraKnownAt : 0;
	}

	/** Time since the configuration was last confirmed to be the newest in the registry, by this instance or a peer, in ms. */
	get configurationAgeMs(): number {
		return this._options.clock.now() - this._configurationConfirmedAt;
	}

	/** The same for the evacuations; 0 when the site has none. */
	get evacuationsAgeMs(): number {
		return this._evacuations === undefined ? 0 : this._options.clock.now() - this._evacuationsConfirmedAt;
	}

	/** Time for which peers have announced a newer configuration than the active one, in ms; 0 when there is none, or the registry has shown since that it has none. */
	get configurationLagMs(): number {
		return this._lacksAnnounced ? this._options.clock.now() - this._announcedAt : 0;
	}

	/** The evacuated domains. */
	get evacuatedDomains(): readonly string[] {
		return this._evacuations?.listInForce(this._options.clock.now()) ?? [];
	}

	/** Whether no request may be sent to the targets of a failure domain. */
	isEvacuated(failureDomain: string): boolean {
		return this._evacuations?.isEvacuated(failureDomain, this._options.clock.now()) ?? false;
	}

	/** Versions and ages, as sent to peers. */
	get version(): Pick<ViewVersion, 'configuration' | 'newestConfiguration' | 'configurationAgeMs' | 'evacuations'> {
		return {
			...(this._lacksAnnounced && {newestConfiguration: this._announcedVersion}),
			configuration: this._configuration?.version ?? 0,
			configurationAgeMs: limitAge(this.configurationAgeMs),
			...(this._evacuations !== undefined && {evacuations: {...this._evacuations.order, ageMs: limitAge(this.evacuationsAgeMs)}}),
		};
	}

	/**
	Activates a configuration if it is newer than the active one.
	@param ageMs - Time since it was confirmed to be the newest, in ms.
	*/
	offerConfiguration(configuration: GatewayConfiguration, ageMs: number): void {
		const isNewer = configuration.version > (this._configuration?.version ?? 0);
		const lagMs = Math.round(this.configurationLagMs);
		if (isNewer) {
			this._configuration = configuration;
			this._configurationConfirmedAt = Number.NEGATIVE_INFINITY;
			this._announcedAt = this._options.clock.now();
		}

		this._confirmConfiguration(configuration.version, ageMs);
		if (isNewer) {
			this._options.logger.logInfo('configuration-in-force', {
				version: configuration.version, routes: configuration.routes.length, services: configuration.services.length, lagMs,
			});
			this._onConfiguration.fire(configuration);
			this._onChange.fire(true);
		}
	}

	/**
	Records that the registry has told this instance that a version is the newest, if it is the active one.
	@param ageMs - Time since the confirmation, in ms.
	*/
	confirmConfiguration(version: number, ageMs: number): void {
		this._confirmConfiguration(version, ageMs);
		if (version === this._configuration?.version) {
			this._configurationReadAt = this._options.clock.now() - ageMs;
		}
	}

	/**
	Applies a set of evacuations if it is newer than the held one.
	@param ageMs - Time since it was confirmed to be the newest, in ms.
	*/
	offerEvacuations(set: EvacuationSet, ageMs: number): void {
		const now = this._options.clock.now();
		const {era, revision} = this.evacuationOrder;
		const isNewer = this._evacuations?.offer(set, now) === true;
		if (isNewer && (revision === 0 || set.era !== era)) {
			this._eraKnownAt = now;
		}

		if (isNewer) {
			this._evacuationsConfirmedAt = Number.NEGATIVE_INFINITY;
		}

		this._confirmEvacuations(set, ageMs);
		this.refreshEvacuations();
		if (isNewer) {
			this._onChange.fire(true);
		}
	}

	/**
	Records that the registry has shown this instance no change of the evacuations between two of its states; returns false when the held set was not read
	between them, so that it has to be read again.
	*/
	confirmEvacuations(since: StorePosition, upTo: StorePosition): boolean {
		const held = this.evacuationOrder;
		const isBetween = held.era === since.era && held.era === upTo.era && held.revision >= since.revision && held.revision <= upTo.revision;
		if (isBetween) {
			this._confirmEvacuations(held, 0);
		}

		return isBetween;
	}

	/** Announces the evacuated domains when they have changed: by a newer set, or since one is no longer retained after a restoration of the registry. */
	refreshEvacuations(): void {
		const {evacuatedDomains} = this;
		if (evacuatedDomains.join('\n') !== this._announcedDomains.join('\n')) {
			this._announcedDomains = evacuatedDomains;
			this._options.logger.logInfo('evacuations-in-force', {domains: evacuatedDomains, ...this._evacuations?.order});
			this._onEvacuations.fire(evacuatedDomains);
		}
	}

	/** Applies what a peer holds: confirmations, the announcement of a newer configuration, and evacuations that this instance lacks. */
	offerPeerView({view, evacuations}: Pick<SyncMessage, 'view' | 'evacuations'>): void {
		this._recordAnnouncedVersion(getNewestConfiguration(view));
		this._confirmConfiguration(view.configuration, view.configurationAgeMs);
		if (view.evacuations !== undefined) {
			if (evacuations !== undefined) {
				this.offerEvacuations(evacuations, Number.POSITIVE_INFINITY);
			}

			this._confirmEvacuations(view.evacuations, view.evacuations.ageMs);
		}
	}

	/** Whether a peer lacks evacuations that this instance has. One of a version that knows none would refuse them, again and again. */
	hasNewerEvacuations({evacuations: peer}: ViewVersion): boolean {
		return this._evacuations !== undefined && peer !== undefined && isNewerEvacuation(this._evacuations.order, peer);
	}

	/** Creates the evacuations to send to a peer: the set that it lacks, and each time those that are retained after a restoration, which it may not know. */
	createEvacuationsFor(peerView: ViewVersion): EvacuationSet | undefined {
		const now = this._options.clock.now();
		return this.hasNewerEvacuations(peerView) || (peerView.evacuations !== undefined && this._evacuations?.hasRetained(now)) ? this._evacuations?.createSet(now) : undefined;
	}

	dispose(): void {
		this._onConfiguration.dispose();
		this._onEvacuations.dispose();
	}

	/** Whether an announced configuration is missing. One is not if the registry confirmed the active one after it was announced, to this instance or well after it to a peer. */
	private get _lacksAnnounced(): boolean {
		return this._announcedVersion > (this._configuration?.version ?? 0)
			&& this._configurationReadAt <= this._announcedAt && this._configurationConfirmedAt <= this._announcedAt + confirmationDelayMs;
	}

	private _confirmConfiguration(version: number, ageMs: number): void {
		if (version === this._configuration?.version) {
			this._configurationConfirmedAt = Math.max(this._configurationConfirmedAt, this._options.clock.now() - ageMs);
		}
	}

	private _confirmEvacuations({generation, era, revision}: EvacuationOrder, ageMs: number): void {
		const held = this.evacuationOrder;
		if (held.generation === generation && held.era === era && held.revision === revision && revision > 0) {
			this._evacuationsConfirmedAt = Math.max(this._evacuationsConfirmedAt, this._options.clock.now() - ageMs);
		}
	}

	private _recordAnnouncedVersion(version: number): void {
		const currentVersion = this._configuration?.version ?? 0;
		if (version <= currentVersion) {
			return;
		}

		if (this._lacksAnnounced) {
			// The lag counts from the first version that is missing; later announcements must not reset it, since each of them may be missed as well.
			if (version > this._announcedVersion) {
				this._announcedVersion = version;
				this._onChange.fire(true);
			}
		} else if (version !== this._announcedVersion) {
			this._announcedAt = this._options.clock.now();
			this._announcedVersion = version;
			// Peers learn of it before this instance has it, which may take long.
			this._onChange.fire(true);
			this._options.logger.logInfo('configuration-announced', {version, activeVersion: currentVersion, ageMs: limitAge(this.configurationAgeMs)});
		}
	}
}
