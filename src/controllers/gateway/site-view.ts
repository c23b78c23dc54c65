import type {Clock} from '../../common/clock.js';
import type {DisposableLike} from '../../common/disposable-like.js';
import {Emitter} from '../../common/emitter.js';
import type {GatewayConfiguration} from '../../common/gateway/gateway-configuration.js';
import type {GatewayTarget} from '../../common/gateway/gateway-target.js';
import type {TargetChanges} from '../../common/gateway/target-changes.js';
import type {TargetList} from '../../common/gateway/target-list.js';
import type {RevisedTargetChanges} from '../../common/gateway/revised-target-changes.js';
import type {TargetIncarnation} from '../../common/gateway/target-incarnation.js';
import type {SyncMessage} from '../../common/gateway/sync-message.js';
import type {ViewVersion} from '../../common/gateway/view-version.js';
import type {Logger} from '../../common/logger.js';
import {LeavingTargets} from '../../policy/gateway/leaving-targets.js';
import {TargetTable} from '../../policy/gateway/target-table.js';
import {OperatorView} from './operator-view.js';

type SiteViewOptions = {
	readonly clock: Clock;
	readonly logger: Logger;
	/** Time within which an evacuation has to be active, in ms; undefined when the site has none. */
	readonly evacuationMs?: number | undefined;
};

const getGeneration = ({targetsGeneration = 0}: ViewVersion): number => targetsGeneration;

/**
The active configuration, evacuations and targets of this instance, with the time at which each was last confirmed to be the newest in the registry.
None is ever replaced by an older one.
*/
export class SiteView implements DisposableLike {
	/** The part that operators write: the configuration and the evacuations. */
	readonly operator: OperatorView;
	private readonly _onComplete = new Emitter<true>();
	private readonly _onTargets = new Emitter<readonly GatewayTarget[]>();
	private readonly _onVersionChange = new Emitter<ViewVersion>();
	private readonly _table = new TargetTable();
	private readonly _leavingTargets = new LeavingTargets();
	private _listedLeavingTargets: readonly TargetIncarnation[] = [];
	private _targets: readonly GatewayTarget[] = [];
	private _targetsConfirmedAt = Number.NEGATIVE_INFINITY;
	private _wasComplete = false;

	constructor(private readonly _options: SiteViewOptions) {
		this.operator = new OperatorView(_options);
		this.operator.onChange(() => {
			this._fireComplete();
			this._onVersionChange.fire(this.version);
		});
	}

	/** Fires with each newer configuration. */
	get onConfiguration() {
		return this.operator.onConfiguration;
	}

	/** Fires once, when the view becomes complete. */
	get onComplete() {
		return this._onComplete.event;
	}

	/** Fires when the list of targets changes. */
	get onTargets() {
		return this._onTargets.event;
	}

	/** Fires when peers may lack what this instance has: with a newer configuration or list, and each time the list is confirmed to be up to date. */
	get onVersionChange() {
		return this._onVersionChange.event;
	}

	/** The active configuration; undefined before the first one. */
	get configuration(): GatewayConfiguration | undefined {
		return this.operator.configuration;
	}

	/** The active targets, including those that are leaving. */
	get targets(): readonly GatewayTarget[] {
		return this._targets;
	}

	/** The listed targets that are leaving, for peers. */
	get leavingTargets(): readonly TargetIncarnation[] {
		return this._listedLeavingTargets;
	}

	/** Whether a configuration, a list of targets and, where the site has them, the evacuations are known, so that requests can be routed. */
	get isComplete(): boolean {
		return this._table.completeRevision > 0 && this.operator.isComplete;
	}

	/** Time since the list of targets was last confirmed at the registry, by this instance or a peer, in ms. */
	get targetsAgeMs(): number {
		return this._options.clock.now() - this._targetsConfirmedAt;
	}

	/** Time since the configuration was last confirmed to be the newest in the registry, by this instance or a peer, in ms. */
	get configurationAgeMs(): number {
		return this.operator.configurationAgeMs;
	}

	/** Time for which peers have announced a newer configuration than the active one, in ms; 0 when there is none, or the registry has shown since that it has none. */
	get configurationLagMs(): number {
		return this.operator.configurationLagMs;
	}

	/** Versions and ages of the configuration and the targets, as sent to peers. */
	get version(): ViewVersion {
		return {
			...this.operator.version,
			targets: this._table.completeRevision,
			targetsGeneration: this._table.generation,
			targetsAgeMs: Math.min(Number.MAX_SAFE_INTEGER, Math.round(this.targetsAgeMs)),
		};
	}

	/**
	Activates a configuration if it is newer than the active one.
	@param ageMs - Time since it was confirmed to be the newest, in ms.
	*/
	offerConfiguration(configuration: GatewayConfiguration, ageMs: number): void {
		this.operator.offerConfiguration(configuration, ageMs);
	}

	/**
	Records that the registry has told this instance that a version is the newest, if it is the active one.
	@param ageMs - Time since the confirmation, in ms.
	*/
	confirmConfiguration(version: number, ageMs: number): void {
		this.operator.confirmConfiguration(version, ageMs);
	}

	/**
	Applies a list of targets that was read from the registry.
	@param ageMs - Time since the read began, in ms.
	*/
	offerTargets(list: TargetList, ageMs: number): void {
		const confirmedBefore = this._targetsConfirmedAt;
		const {completeRevision} = this._table;
		const hasChanged = this._table.applyList(list, this._options.clock.now());
		if (list.revision >= completeRevision) {
			this._confirmTargets(ageMs);
		}

		this._fireTargetEvents(confirmedBefore, hasChanged);
	}

	/**
	Replaces the list of targets by one that was read from the registry, although its revision is lower: the registry's count has started again, or
	the held revision was wrong. Targets that are leaving stay so.
	@param ageMs - Time since the read began, in ms.
	*/
	acceptTargets(list: TargetList, ageMs: number): void {
		const confirmedBefore = this._targetsConfirmedAt;
		const held = this._table.completeRevision;
		const hasChanged = this._table.resetTo(list, this._table.generation + 1, this._options.clock.now());
		this._options.logger.logError('registry-revision-accepted', {held, accepted: list.revision, generation: this._table.generation});
		this._confirmTargets(ageMs);
		this._fireTargetEvents(confirmedBefore, hasChanged);
	}

	/** Applies changes of the targets that the registry has just reported; returns false when the complete list has to be read. */
	offerTargetEvents({revision, ...changes}: RevisedTargetChanges): boolean {
		const confirmedBefore = this._targetsConfirmedAt;
		const hasChanged = this._table.applyEvents(changes, revision, this._options.clock.now());
		if (hasChanged === undefined) {
			return false;
		}

		if (revision >= this._table.completeRevision) {
			this._confirmTargets(0);
		}

		this._fireTargetEvents(confirmedBefore, hasChanged);
		return true;
	}

	/**
	Applies a peer's view: confirmations of the values that both hold, the announcement of a newer configuration, and the changes of targets and
	the evacuations that the peer sent along, if any.
	*/
	offerPeerView({view, targets: changes, evacuations}: Pick<SyncMessage, 'view' | 'targets' | 'evacuations'>): void {
		const confirmedBefore = this._targetsConfirmedAt;
		const hasChanged = changes !== undefined && this._applyPeerChanges(view, changes);
		if (view.targets > 0 && view.targets === this._table.completeRevision && getGeneration(view) === this._table.generation) {
			this._confirmTargets(view.targetsAgeMs);
		}

		this.operator.offerPeerView({view, evacuations});
		this._fireTargetEvents(confirmedBefore, hasChanged);
	}

	/**
	Notes targets that have announced that they are leaving; no list makes them available again.
	@param source - Where the announcement came from: 'response' of the target or the id of a peer.
	*/
	noteLeaving(targets: readonly TargetIncarnation[], source: string): void {
		const added = targets.filter(target => this._leavingTargets.add(target));
		if (added.length > 0) {
			this._options.logger.logInfo('targets-leaving', {targets: added.map(({id}) => id), source});
			this._fireTargets();
		}
	}

	/**
	Creates the version to send to a peer. A peer of the previous version, which knows no generations, would send its list without end to one with a
	lower revision, so it is told its own.
	@param peerView - The view version in the peer's last message, with the ages of now.
	*/
	createVersionFor(peerView: ViewVersion): ViewVersion {
		const {version} = this;
		return peerView.targetsGeneration === undefined && this._table.generation > 0 && peerView.targets > version.targets
			? {...version, targets: peerView.targets, targetsAgeMs: peerView.targetsAgeMs}
			: version;
	}

	/** Whether a peer lacks changes of the list of targets that this instance has. */
	hasNewerTargets(peerView: ViewVersion): boolean {
		// A version without generations compares revisions alone, so it would refuse anything else, again and again.
		return peerView.targetsGeneration === undefined || peerView.targetsGeneration === this._table.generation
			? this._table.completeRevision > peerView.targets
			: this._table.generation > peerView.targetsGeneration;
	}

	/** Whether a peer lacks targets or evacuations that this instance has. */
	hasNewerState(peerView: ViewVersion): boolean {
		return this.hasNewerTargets(peerView) || this.operator.hasNewerEvacuations(peerView);
	}

	/** Collects the changes of targets that a peer lacks. */
	collectTargetChanges(peerView: ViewVersion): TargetChanges {
		const revision = getGeneration(peerView) === this._table.generation ? peerView.targets : 0;
		return this._table.collectChanges(revision, this._options.clock.now());
	}

	dispose(): void {
		this.operator.dispose();
		this._onComplete.dispose();
		this._onTargets.dispose();
		this._onVersionChange.dispose();
	}

	private _applyPeerChanges(view: ViewVersion, changes: TargetChanges): boolean {
		const now = this._options.clock.now();
		const generation = getGeneration(view);
		if (generation > this._table.generation) {
			return changes.since === 0 && this._table.resetTo({revision: view.targets, targets: changes.changed}, generation, now);
		}

		return generation === this._table.generation && this._table.applyChanges(changes, view.targets, now) === true;
	}

	private _confirmTargets(ageMs: number): void {
		this._targetsConfirmedAt = Math.max(this._targetsConfirmedAt, this._options.clock.now() - ageMs);
	}

	private _fireTargets(): void {
		const {targets} = this._table;
		this._noteLeavingRecords(targets);
		this._listedLeavingTargets = targets.filter(target => this._leavingTargets.has(target)).map(({id, startedAt}) => ({id, startedAt}));
		this._targets = targets.map(target => this._leavingTargets.has(target) ? {...target, isLeaving: true} : target);
		this._onTargets.fire(this._targets);
	}

	/** Notes targets whose records say that they are leaving, since the registry may write an older record late. One without a start cannot be told from its successor. */
	private _noteLeavingRecords(targets: readonly GatewayTarget[]): void {
		for (const target of targets) {
			if (target.isLeaving && target.startedAt !== 0) {
				this._leavingTargets.add(target);
			}
		}
	}

	private _fireTargetEvents(confirmedBefore: number, hasChanged: boolean): void {
		if (hasChanged) {
			const {targets} = this._table;
			this._options.logger.logInfo('targets-changed', {revision: this._table.completeRevision, targets: targets.length, leaving: targets.filter(target => target.isLeaving).length});
			this._fireTargets();
		}

		this._fireComplete();
		if (this._targetsConfirmedAt > confirmedBefore) {
			this._onVersionChange.fire(this.version);
		}
	}

	private _fireComplete(): void {
		if (!this._wasComplete && this.isComplete) {
			this._wasComplete = true;
			this._onComplete.fire(true);
		}
	}
}
