import type {Clock} from '../../common/clock.js';
import type {GatewayService} from '../../common/gateway/gateway-service.js';
import type {GatewayTarget} from '../../common/gateway/gateway-target.js';
import type {Logger} from '../../common/logger.js';
import type {Metrics} from '../../common/metrics.js';
import {disabledMetrics} from '../../io/disabled-metrics.js';
import {ColdTargetGuard} from '../../policy/gateway/cold-target-guard.js';
import type {ColdTargetOwners} from '../../policy/gateway/cold-target-owners.js';
import {computePermitWaitMs} from '../../policy/gateway/compute-permit-wait-ms.js';
import type {TargetGuard} from '../../policy/gateway/target-guard.js';
import type {TargetRecord} from '../../policy/gateway/target-record.js';
import type {PooledTarget} from './pooled-target.js';

type ColdTargetsOptions = {
	/** Divides the requests to cold targets among instances; undefined for no limit. */
	readonly coldTargetOwners?: Pick<ColdTargetOwners, 'computeUnsettledMs' | 'findShare'> | undefined;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: Metrics;
};

/** Follows which targets of one service are cold, and limits the requests to them. */
export class ColdTargets {
	private readonly _guard: ColdTargetGuard | undefined;

	constructor(private readonly _options: ColdTargetsOptions, private readonly _getService: () => GatewayService, guard?: ColdTargetGuard) {
		const {coldTargetOwners: owners} = _options;
		this._guard = guard ?? (owners && new ColdTargetGuard({owners, getPerSecond: () => _getService().warmUpPerSecond}));
	}

	/** Creates a copy with other owners whose changes do not reach this one and that counts nothing, for a dry run. */
	createCopy(owners: ColdTargetsOptions['coldTargetOwners']): ColdTargets {
		return new ColdTargets({...this._options, metrics: disabledMetrics}, this._getService, owners && this._guard?.createCopy(owners));
	}

	/** The guards that keep requests away from cold targets. */
	get guards(): readonly TargetGuard[] {
		return this._guard === undefined ? [] : [this._guard];
	}

	/** Replaces the entry of a target in the list by a newer one. */
	updateTarget(record: TargetRecord, target: GatewayTarget): void {
		if (record.target !== target && record.updateTarget(target, this._options.clock.now())) {
			this._logColdAgain(record, 'record');
		}
	}

	/**
	Records a remaining warm-up time that a target stated in a response, up to the service's warm-up time. A target that is cold for longer says so when
	it is probed again before the next request.
	@param askedAt - Time at which the target was asked, in ms.
	*/
	recordWarmUp(record: TargetRecord, leftMs: number, askedAt: number): void {
		const {warmUpMs = 0} = this._getService();
		if (record.recordWarmUp(warmUpMs > 0 ? Math.min(leftMs, warmUpMs) : leftMs, askedAt, this._options.clock.now())) {
			this._logColdAgain(record, 'response');
		}
	}

	/** Counts the permit that a request takes if its target is cold. */
	countGrant(record: TargetRecord, now: number): void {
		if (this._guard?.isLimited(record, now) === true) {
			this._countPermit('taken');
		}
	}

	/** Whether a cold target should be sent the next request for which it is idle. */
	isOwed(record: TargetRecord, now: number): boolean {
		return this._guard?.isOwed(record, now) === true;
	}

	/**
	Computes the expected wait of a request for a permit while all targets are cold, in ms; 0 when a target is not limited.
	@param aheadCount - Waiting requests that go before it.
	@param computeBlockedMs - Computes the time until a target may be chosen.
	*/
	computePermitWaitMs(targets: readonly PooledTarget[], aheadCount: number, computeBlockedMs: (target: PooledTarget, now: number) => number): number {
		const guard = this._guard;
		const now = this._options.clock.now();
		if (guard === undefined || targets.some(({record}) => !guard.isLimited(record, now))) {
			return 0;
		}

		const sources = targets.map(target => ({
			blockedMs: computeBlockedMs(target, now), spacingMs: guard.getSpacingMs(target.record, now), warmUpLeftMs: target.record.getWarmUpLeftMs(now),
		}));
		const waitMs = computePermitWaitMs(sources, aheadCount);
		if (waitMs > 0) {
			this._countPermit('refused');
		}

		return waitMs;
	}

	private _countPermit(result: 'taken' | 'refused'): void {
		this._options.metrics.countEvent('target.cold_permits', {service: this._getService().name, result});
	}

	private _logColdAgain(record: TargetRecord, source: 'record' | 'response'): void {
		const {logger, clock} = this._options;
		logger.logInfo('target-cold-again', {
			service: this._getService().name, target: record.target.id, leftMs: Math.round(record.getWarmUpLeftMs(clock.now())), source,
		});
	}
}
