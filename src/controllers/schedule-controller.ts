import {err, ok, type Result} from 'neverthrow';
import type {Clock} from '../common/clock.js';
import type {DisposableLike} from '../common/disposable-like.js';
import {Emitter} from '../common/emitter.js';
import type {EntrySettings} from '../common/entry-settings.js';
import {ErrorKind} from '../common/error-kind.js';
import type {Instance} from '../common/instance.js';
import {RequestError} from '../common/request-error.js';
import type {ServiceSpec} from '../common/service-spec.js';
import type {SlotDemand} from '../common/slot-demand.js';
import type {SlotLease} from '../common/slot-lease.js';
import type {SlotScheduler} from '../common/slot-scheduler.js';
import {ServiceScheduler} from '../policy/schedule/service-scheduler.js';

type Scheduler = ServiceScheduler<Waiter>;
type Grant = NonNullable<ReturnType<Scheduler['tryGrant']>>;
type Waiter = ReturnType<ServiceScheduler['createRequest']> & {
	settle(result: Result<SlotLease, RequestError>): void;
};

type ScheduleOptions = {
	readonly clock: Clock;
	readonly self: Pick<Instance, 'id' | 'failureDomain'>;
	readonly decisions: EntrySettings['decisions'];
};

/** Interval at which the queues are served while requests wait, in ms; ageing, backoff and warm-up free slots without an event. */
const tickMs = 5;

/** Queues each request at the entry until a suitable target is estimated to have a free slot. */
export class ScheduleController implements SlotScheduler, DisposableLike {
	private readonly _schedulers = new Map<string, Scheduler>();
	private readonly _onCountChanged = new Emitter<{readonly service: string; readonly targetId: string}>();
	private _tickTimer: NodeJS.Timeout | undefined;

	constructor(private readonly _options: ScheduleOptions) {}

	/** Fires when the number of this instance's requests in flight at a target changes. */
	get onCountChanged() {
		return this._onCountChanged.event;
	}

	async acquireSlot(demand: SlotDemand): Promise<Result<SlotLease, RequestError>> {
		const {clock} = this._options;
		const scheduler = this.getScheduler(demand.service);
		const now = clock.now();
		if (!scheduler.load.hasUsableTarget(now)) {
			return err(new RequestError(ErrorKind.NoTarget, `service ${demand.service.name} has no available target`));
		}

		const request = scheduler.createRequest(demand, now);
		const grant = scheduler.queue.size === 0 ? scheduler.tryGrant(request, now) : undefined;
		if (grant !== undefined) {
			return ok(this._createLease(scheduler, grant));
		}

		const retryAfterMs = scheduler.computeRetryAfter(request, now);
		if (retryAfterMs !== undefined) {
			return err(new RequestError(ErrorKind.DeadlineUnreachable, `waiting for a slot of service ${demand.service.name} would exceed the deadline`, retryAfterMs));
		}

		return this._waitForSlot(scheduler, request);
	}

	tryAcquireSlot(demand: SlotDemand): SlotLease | undefined {
		const now = this._options.clock.now();
		const scheduler = this.getScheduler(demand.service);
		const grant = scheduler.tryGrantHedge(scheduler.createRequest(demand, now), now);
		return grant === undefined ? undefined : this._createLease(scheduler, grant);
	}

	/** Returns the scheduler of a service, updated to the given spec. */
	getScheduler(service: ServiceSpec): Scheduler {
		const {clock, self, decisions} = this._options;
		let scheduler = this._schedulers.get(service.name);
		if (scheduler === undefined) {
			scheduler = new ServiceScheduler<Waiter>(service, {instanceId: self.id, failureDomain: self.failureDomain, peerExpiryMs: decisions.shareExpiryMs});
			this._schedulers.set(service.name, scheduler);
		}

		scheduler.load.updateSpec(service, clock.now());
		return scheduler;
	}

	/** Grants the slots that are now estimated to be free to waiting requests. */
	serveQueue(scheduler: Scheduler): void {
		for (const {item, grant} of scheduler.serveQueue(this._options.clock.now())) {
			item.settle(ok(this._createLease(scheduler, grant)));
		}
	}

	/** Drops the scheduler of a service that was removed; its waiting requests fail. */
	removeService(name: string): void {
		const scheduler = this._schedulers.get(name);
		this._schedulers.delete(name);
		for (const waiter of scheduler?.queue.listItems() ?? []) {
			waiter.settle(err(new RequestError(ErrorKind.UnknownService, `service ${name} was removed`)));
		}
	}

	dispose(): void {
		clearTimeout(this._tickTimer);
		this._onCountChanged.dispose();
		for (const scheduler of this._schedulers.values()) {
			for (const waiter of scheduler.queue.listItems()) {
				waiter.settle(err(new RequestError(ErrorKind.ShuttingDown, 'the instance is shutting down')));
			}
		}

		this._schedulers.clear();
	}

	private async _waitForSlot(scheduler: Scheduler, request: Omit<Waiter, 'settle'>): Promise<Result<SlotLease, RequestError>> {
		const {service, signal, deadlineAt} = request.demand;
		return new Promise(resolve => {
			const expire = () => {
				waiter.settle(err(new RequestError(ErrorKind.DeadlineExpiredQueued, `no slot of service ${service.name} became free before the deadline`)));
			};

			const abort = () => {
				waiter.settle(err(signal?.reason as RequestError));
			};

			const timer = setTimeout(expire, Math.max(0, deadlineAt - this._options.clock.now()));
			const waiter: Waiter = {
				...request,
				settle(result) {
					clearTimeout(timer);
					signal?.removeEventListener('abort', abort);
					scheduler.queue.removeItem(waiter);
					resolve(result);
				},
			};
			if (!scheduler.queue.addItem(waiter)) {
				waiter.settle(err(new RequestError(ErrorKind.QueueFull, `${scheduler.queue.size} requests of service ${service.name} are already queued`)));
				return;
			}

			signal?.addEventListener('abort', abort, {once: true});
			if (signal?.aborted ?? false) {
				abort();
				return;
			}

			this.serveQueue(scheduler);
			this._startTick();
		});
	}

	private _createLease(scheduler: Scheduler, grant: Grant): SlotLease {
		const {target, request} = grant;
		const changed = {service: request.demand.service.name, targetId: target.id};
		this._onCountChanged.fire(changed);
		let isReleased = false;
		return {
			target,
			release: (end, report) => {
				if (isReleased) {
					return;
				}

				isReleased = true;
				scheduler.releaseGrant(grant, this._options.clock.now(), end, report);
				this.serveQueue(scheduler);
				this._onCountChanged.fire(changed);
			},
		};
	}

	private _startTick(): void {
		this._tickTimer ??= setTimeout(() => {
			this._tickTimer = undefined;
			let isWaiting = false;
			for (const scheduler of this._schedulers.values()) {
				this.serveQueue(scheduler);
				isWaiting ||= scheduler.queue.size > 0;
			}

			if (isWaiting) {
				this._startTick();
			}
		}, tickMs);
	}
}
