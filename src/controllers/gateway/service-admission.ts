import type {ServicePriority} from '../../common/gateway/service-priority.js';
import {ClassFloor} from '../../policy/gateway/class-floor.js';
import {minRetryAfterMs} from '../../policy/gateway/min-retry-after-ms.js';
import {ReturnSchedule} from '../../policy/gateway/return-schedule.js';

type Refusal = Parameters<ReturnSchedule['schedule']>[0];

/** Divides the capacity of one service by the priorities of its routes. Has no effect while they have one priority. */
export class ServiceAdmission {
	private readonly _floor = new ClassFloor();
	private readonly _returns: ReturnSchedule;
	private _priorities: readonly ServicePriority[] = [];

	constructor(random: () => number) {
		this._returns = new ReturnSchedule(random);
	}

	/** Whether the routes of the service have different priorities. */
	get isActive(): boolean {
		return this._priorities.length > 1;
	}

	/** The most urgent priority whose requests go first since it has got too few slots; undefined when there is none. */
	get starvedPriority(): number | undefined {
		return this._priorities.find(({priority}) => this.isEntitled(priority))?.priority;
	}

	/** Applies changed priorities of the service's routes, the highest first. */
	setPriorities(priorities: readonly ServicePriority[]): void {
		this._priorities = priorities;
	}

	/** Whether requests of a priority are entitled to the next slot, since it has got too few. The highest priority goes first without that. */
	isEntitled(priority: number): boolean {
		return this.isActive && priority !== this._priorities[0]?.priority && this._floor.isStarved(priority);
	}

	noteArrival(priority: number): void {
		this._floor.noteArrival(priority);
	}

	noteGrant(priority: number): void {
		this._floor.noteGrant(priority);
	}

	/** Computes the retry-after time of a request that is refused because of its expected wait, in ms. */
	computeRetryAfterMs(refusal: Refusal): number {
		return this.isActive ? this._returns.schedule(refusal) : Math.max(minRetryAfterMs, refusal.waitMs);
	}
}
