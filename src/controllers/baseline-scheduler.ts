import {err, ok, type Result} from 'neverthrow';
import type {Clock} from '../common/clock.js';
import {DecisionPolicy} from '../common/decision-policy.js';
import type {DisposableLike} from '../common/disposable-like.js';
import {ErrorKind} from '../common/error-kind.js';
import type {LoadQuery} from '../common/load-query.js';
import type {RandomSource} from '../common/random-source.js';
import {RequestError} from '../common/request-error.js';
import type {ServiceSpec} from '../common/service-spec.js';
import type {SlotDemand} from '../common/slot-demand.js';
import type {SlotLease} from '../common/slot-lease.js';
import type {SlotScheduler} from '../common/slot-scheduler.js';
import type {TargetSpec} from '../common/target-spec.js';
import {chooseLeastOutstanding} from '../policy/schedule/choose-least-outstanding.js';
import {ProbePool} from '../policy/schedule/probe-pool.js';

type BaselineOptions = {
	readonly policy: Exclude<DecisionPolicy, DecisionPolicy.Rattansill>;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly queryLoad: LoadQuery;
};

type ServiceState = {
	nextIndex: number;
	readonly inFlight: Map<string, number>;
	readonly pool: ProbePool;
};

const probesPerRequest = 2;

/** Schedules requests with a baseline policy, without queueing: each request gets a target at once or fails. */
export class BaselineScheduler implements SlotScheduler, DisposableLike {
	private readonly _states = new Map<string, ServiceState>();

	constructor(private readonly _options: BaselineOptions) {}

	async acquireSlot(demand: SlotDemand): Promise<Result<SlotLease, RequestError>> {
		const lease = this.tryAcquireSlot(demand);
		return lease === undefined
			? err(new RequestError(ErrorKind.NoTarget, `service ${demand.service.name} has no target left for this request`))
			: ok(lease);
	}

	tryAcquireSlot(demand: SlotDemand): SlotLease | undefined {
		const state = this._getState(demand.service.name);
		const candidates = demand.service.targets.filter(target => !target.leaving && !demand.excludedTargets.includes(target.id));
		const target = this._chooseTarget(demand.service, state, candidates);
		return target === undefined ? undefined : this._createLease(state, target);
	}

	dispose(): void {
		this._states.clear();
	}

	private _chooseTarget(service: ServiceSpec, state: ServiceState, candidates: readonly TargetSpec[]): TargetSpec | undefined {
		switch (this._options.policy) {
			case DecisionPolicy.RoundRobin: {
				state.nextIndex++;
				return candidates[state.nextIndex % Math.max(1, candidates.length)];
			}

			case DecisionPolicy.LeastOutstanding: {
				return this._chooseLeastOutstanding(state, candidates);
			}

			case DecisionPolicy.ProbePool: {
				this._sendProbes(service, state, candidates);
				const id = state.pool.chooseTarget(this._options.clock.now(), targetId => candidates.some(target => target.id === targetId));
				return candidates.find(target => target.id === id) ?? this._chooseLeastOutstanding(state, candidates);
			}
		}
	}

	private _chooseLeastOutstanding(state: ServiceState, candidates: readonly TargetSpec[]): TargetSpec | undefined {
		const counts = candidates.map(target => ({inFlight: state.inFlight.get(target.id) ?? 0}));
		const index = chooseLeastOutstanding(counts, this._options.random);
		return index === undefined ? undefined : candidates[index];
	}

	private _sendProbes(service: ServiceSpec, state: ServiceState, candidates: readonly TargetSpec[]): void {
		for (let count = 0; count < probesPerRequest && candidates.length > 0; count++) {
			const target = candidates[Math.floor(this._options.random() * candidates.length)];
			if (target !== undefined) {
				void this._probeTarget(service, state, target);
			}
		}
	}

	private async _probeTarget(service: ServiceSpec, state: ServiceState, target: TargetSpec): Promise<void> {
		const report = await this._options.queryLoad(service, target);
		if (report !== undefined) {
			state.pool.addReport(target.id, report, this._options.clock.now());
		}
	}

	private _createLease(state: ServiceState, target: TargetSpec): SlotLease {
		state.inFlight.set(target.id, (state.inFlight.get(target.id) ?? 0) + 1);
		let isReleased = false;
		return {
			target,
			release() {
				if (!isReleased) {
					isReleased = true;
					state.inFlight.set(target.id, (state.inFlight.get(target.id) ?? 1) - 1);
				}
			},
		};
	}

	private _getState(service: string): ServiceState {
		let state = this._states.get(service);
		if (state === undefined) {
			state = {nextIndex: Math.floor(this._options.random() * 4096), inFlight: new Map(), pool: new ProbePool()};
			this._states.set(service, state);
		}

		return state;
	}
}
