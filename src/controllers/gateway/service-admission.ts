import type {ServicePriority} from '../../common/gateway/service-priority.js';
import {canContend} from '../../policy/gateway/can-contend.js';
import {canStayQueued} from '../../policy/gateway/can-stay-queued.js';
import {ClassFloor} from '../../policy/gateway/class-floor.js';
import {minRetryAfterMs} from '../../policy/gateway/min-retry-after-ms.js';
import {ReturnSchedule} from '../../policy/gateway/return-schedule.js';
import {ScarcityLevel} from '../../policy/gateway/scarcity-level.js';

type Contender = {
	readonly arrivedAt: number;
	readonly lookedAt: number;
	readonly objectiveAt: number;
	readonly priority: number;
};

type Waiter = Parameters<typeof canStayQueued>[0] & {readonly priority: number};

type Refusal = Parameters<ReturnSchedule['schedule']>[0];

/** Divides the capacity of one service by the priorities of its routes. Has no effect while they have one priority. */
export class ServiceAdmission {
	private _priorities: readonly ServicePriority[] = [];

	constructor(
		random: () => number,
		private readonly _floor = new ClassFloor(),
		private readonly _scarcity = new ScarcityLevel(),
		private readonly _returns = new ReturnSchedule(random),
	) {}

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

	/** Creates a copy whose changes do not reach this one, for a dry run. */
	createCopy(): ServiceAdmission {
		const copy = new ServiceAdmission(() => 0, this._floor.createCopy(), this._scarcity.createCopy(), this._returns.createCopy());
		copy.setPriorities(this._priorities);
		return copy;
	}

	noteArrival(priority: number): void {
		this._floor.noteArrival(priority);
	}

	noteGrant(priority: number): void {
		this._floor.noteGrant(priority);
	}

	/** Records whether a request found an acceptable slot at its first look at the targets. */
	noteLook(isFound: boolean, now: number): void {
		this._scarcity.noteLook(isFound, now);
	}

	/** Moves the scarcity level of the service by a step if it is due, and returns it. */
	updateLevel(now: number): number {
		return this.isActive ? this._scarcity.update(now) : 0;
	}

	/** Whether a request competes for a free slot yet, or leaves it to more urgent ones of any instance. */
	canContend(contender: Contender, usualMs: number, now: number): boolean {
		const level = this.updateLevel(now);
		const rank = this._priorities.findIndex(({priority}) => priority === contender.priority);
		return level === 0 || this._floor.isStarved(contender.priority) || canContend(
			{...contender, rank: rank === -1 ? this._priorities.length : rank},
			{level, urgentRoomMs: Math.max(0, this._priorities[0]!.objectiveMs - usualMs), usualMs},
			now,
		);
	}

	/** Whether a request stays in the queue, or is refused since it is late and would not look for a slot again. */
	canStayQueued(waiter: Waiter, usualMs: number, now: number): boolean {
		return canStayQueued(waiter, {level: this.updateLevel(now), isStarved: this._floor.isStarved(waiter.priority), usualMs}, now);
	}

	/** Records a late request that was refused because of the level. */
	noteLateRefusal(now: number): void {
		this._scarcity.noteRefusal(now);
	}

	/** Computes the time until late requests are expected to find a slot, in ms. */
	computeFallMs(): number {
		return this._scarcity.computeFallMs();
	}

	/** Computes the retry-after time of a request that is refused because of its expected wait, in ms. */
	computeRetryAfterMs(refusal: Refusal): number {
		return this.isActive ? this._returns.schedule({...refusal, waitMs: Math.max(refusal.waitMs, this._scarcity.computeFallMs())}) : Math.max(minRetryAfterMs, refusal.waitMs);
	}
}
