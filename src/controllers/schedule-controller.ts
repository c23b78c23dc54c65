import {err, ok, type Result} from 'neverthrow';
import type {Clock} from '../common/clock.js';
import type {DisposableLike} from '../common/disposable-like.js';
import {ErrorKind} from '../common/error-kind.js';
import {RequestError} from '../common/request-error.js';
import type {SlotDemand} from '../common/slot-demand.js';
import type {SlotLease} from '../common/slot-lease.js';
import type {SlotScheduler} from '../common/slot-scheduler.js';
import type {TargetSpec} from '../common/target-spec.js';

type Waiter = {
	readonly demand: SlotDemand;
	readonly timer: NodeJS.Timeout;
	settle(result: Result<SlotLease, RequestError>): void;
};

/** Gives each request the target with the fewest requests in flight, and holds it while none has a free slot. */
export class ScheduleController implements SlotScheduler, DisposableLike {
	private readonly _inFlight = new Map<string, number>();
	private readonly _waiters: Waiter[] = [];

	constructor(private readonly _clock: Clock) {}

	async acquireSlot(demand: SlotDemand): Promise<Result<SlotLease, RequestError>> {
		if (demand.service.targets.length === 0) {
			return err(new RequestError(ErrorKind.NoTarget, `service ${demand.service.name} has no targets`));
		}

		const lease = this.tryAcquireSlot(demand);
		if (lease !== undefined) {
			return ok(lease);
		}

		return new Promise(resolve => {
			const waitMs = Math.max(0, demand.deadlineAt - this._clock.now());
			const waiter: Waiter = {
				demand,
				settle: resolve,
				timer: setTimeout(() => {
					this._removeWaiter(waiter);
					resolve(err(new RequestError(ErrorKind.DeadlineExpiredQueued, `no slot of service ${demand.service.name} became free in time`)));
				}, waitMs),
			};
			this._waiters.push(waiter);
		});
	}

	tryAcquireSlot(demand: SlotDemand): SlotLease | undefined {
		let best: TargetSpec | undefined;
		let bestCount = demand.service.slotsPerTarget;
		for (const target of demand.service.targets) {
			const count = this._inFlight.get(target.id) ?? 0;
			if (count < bestCount && !target.leaving && !demand.excludedTargets.includes(target.id)) {
				best = target;
				bestCount = count;
			}
		}

		return best === undefined ? undefined : this._createLease(best);
	}

	dispose(): void {
		for (const waiter of this._waiters.splice(0)) {
			clearTimeout(waiter.timer);
			waiter.settle(err(new RequestError(ErrorKind.ShuttingDown, 'the instance is shutting down')));
		}
	}

	private _createLease(target: TargetSpec): SlotLease {
		this._inFlight.set(target.id, (this._inFlight.get(target.id) ?? 0) + 1);
		let isReleased = false;
		return {
			target,
			release: () => {
				if (isReleased) {
					return;
				}

				isReleased = true;
				this._inFlight.set(target.id, (this._inFlight.get(target.id) ?? 1) - 1);
				this._serveWaiters();
			},
		};
	}

	private _serveWaiters(): void {
		for (const waiter of this._waiters) {
			const lease = this.tryAcquireSlot(waiter.demand);
			if (lease !== undefined) {
				this._removeWaiter(waiter);
				waiter.settle(ok(lease));
			}
		}
	}

	private _removeWaiter(waiter: Waiter): void {
		clearTimeout(waiter.timer);
		const index = this._waiters.indexOf(waiter);
		if (index !== -1) {
			this._waiters.splice(index, 1);
		}
	}
}
