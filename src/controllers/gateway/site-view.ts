import type {Clock} from '../../common/clock.js';
import type {DisposableLike} from '../../common/disposable-like.js';
import {Emitter} from '../../common/emitter.js';
import type {GatewayConfiguration} from '../../common/gateway/gateway-configuration.js';
import type {GatewayTarget} from '../../common/gateway/gateway-target.js';
import type {TargetList} from '../../common/gateway/target-list.js';
import type {ViewVersion} from '../../common/gateway/view-version.js';
import type {Logger} from '../../common/logger.js';

type SiteViewOptions = {
	readonly clock: Clock;
	readonly logger: Logger;
};

/** Identifies the content of a target's record; the time left of its warm-up shrinks with every read. */
const describeTarget = ({id, service, host, port, isLeaving, startedAt}: GatewayTarget): string => [id, service, host, port, isLeaving, startedAt].join(' ');

const describeTargets = (targets: readonly GatewayTarget[]): string => targets.map(target => describeTarget(target)).sort().join('\n');

/** The configuration and the targets in force on this instance; neither ever goes back to an older one. */
export class SiteView implements DisposableLike {
	private readonly _onConfiguration = new Emitter<GatewayConfiguration>();
	private readonly _onTargets = new Emitter<readonly GatewayTarget[]>();
	private _configuration: GatewayConfiguration | undefined;
	private _targets: readonly GatewayTarget[] = [];
	private _content = '';
	private _listContent = 0;
	private _listConfirmed = 0;
	private _listConfirmedAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly _options: SiteViewOptions) {}

	/** Fires with each newer configuration. */
	get onConfiguration() {
		return this._onConfiguration.event;
	}

	/** Fires when the list of targets changes. */
	get onTargets() {
		return this._onTargets.event;
	}

	get configuration(): GatewayConfiguration | undefined {
		return this._configuration;
	}

	get targets(): readonly GatewayTarget[] {
		return this._targets;
	}

	/** True once requests can be routed. */
	get isComplete(): boolean {
		return this._configuration !== undefined && this._listContent > 0;
	}

	/** Time since the list of targets was seen at the registry, by this instance or a peer, in ms. */
	get listAgeMs(): number {
		return this._options.clock.now() - this._listConfirmedAt;
	}

	get version(): ViewVersion {
		return {
			configuration: this._configuration?.version ?? 0,
			listContent: this._listContent,
			listConfirmed: this._listConfirmed,
			listAgeMs: Math.min(Number.MAX_SAFE_INTEGER, Math.round(this.listAgeMs)),
		};
	}

	/** Puts a configuration in force if it is newer. */
	offerConfiguration(configuration: GatewayConfiguration): void {
		if (configuration.version > (this._configuration?.version ?? 0)) {
			this._configuration = configuration;
			this._options.logger.logInfo('configuration-in-force', {version: configuration.version, routes: configuration.routes.length, services: configuration.services.length});
			this._onConfiguration.fire(configuration);
		}
	}

	/** Takes a list that was read at the registry. */
	offerTargets({revision, targets}: TargetList): void {
		if (revision < this._listConfirmed) {
			return;
		}

		const content = describeTargets(targets);
		if (content === this._content) {
			this.confirmTargets(revision, 0);
			return;
		}

		this._setTargets(targets, content, revision);
		this.confirmTargets(revision, 0);
	}

	/** Takes a list that a peer read, if it is newer than the one held. */
	offerPeerTargets(view: ViewVersion, targets: readonly GatewayTarget[]): void {
		if (view.listConfirmed > this._listConfirmed) {
			this._setTargets(targets, describeTargets(targets), view.listContent);
			this.confirmTargets(view.listConfirmed, view.listAgeMs);
		}
	}

	/** Notes that the list held was seen unchanged at a revision of the registry. */
	confirmTargets(revision: number, ageMs: number): void {
		this._listConfirmed = Math.max(this._listConfirmed, revision);
		this._listConfirmedAt = Math.max(this._listConfirmedAt, this._options.clock.now() - ageMs);
	}

	dispose(): void {
		this._onConfiguration.dispose();
		this._onTargets.dispose();
	}

	private _setTargets(targets: readonly GatewayTarget[], content: string, revision: number): void {
		this._content = content;
		this._listContent = revision;
		this._targets = targets;
		this._options.logger.logInfo('targets-changed', {revision, targets: targets.length, leaving: targets.filter(target => target.isLeaving).length});
		this._onTargets.fire(targets);
	}
}
