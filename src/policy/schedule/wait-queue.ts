import {Heap} from 'heap-js';
import {RequestClass} from '../../common/request-class.js';
import {chooseLane} from './choose-lane.js';
import {QueueLane} from './queue-lane.js';
import type {QueuedItem} from './queued-item.js';

type Ticket<T> = {
	readonly item: T;
	/** Earliest deadline first; a far deadline counts as a nearer one, so that its request is served in finite time. */
	readonly orderAt: number;
	/** Order of arrival. */
	readonly sequence: number;
	readonly agedAt: number;
	/** Undefined once the request has left the queue. */
	lane: QueueLane | undefined;
};

type LaneState<T> = {
	readonly heap: Heap<Ticket<T>>;
	count: number;
	costMs: number;
	/** Work that the lane was given, for the turns between lanes of one tier, in ms. */
	servedMs: number;
};

type QueueLimits = {
	readonly maxRequests: number;
	readonly maxBytes: number;
};

const agedAfterMs = 10_000;
const agedAfterAllowanceRatio = 0.5;

/** Lanes in the order of service; lanes of one tier take turns by the work that they were given. */
const tiers: ReadonlyArray<readonly QueueLane[]> = [
	[QueueLane.InteractiveShort, QueueLane.BookingShort, QueueLane.AgedShort, QueueLane.AgedLong],
	[QueueLane.InteractiveLong, QueueLane.BookingLong],
	[QueueLane.InteractiveRetry, QueueLane.BookingRetry],
	[QueueLane.DeferrableShort],
	[QueueLane.DeferrableLong],
	[QueueLane.DeferrableRetry],
];

/** Short first tries of the upper classes are served in turns already. */
const canAge = ({isLong, isRetry, requestClass}: QueuedItem): boolean => isLong || isRetry || requestClass === RequestClass.Deferrable;

const createLane = <T>(): LaneState<T> => ({
	heap: new Heap<Ticket<T>>((a, b) => a.orderAt - b.orderAt || a.sequence - b.sequence), count: 0, costMs: 0, servedMs: 0,
});

/**
Requests of one service that wait for a slot.
Short ones go before long ones, first tries before retries, the earliest deadline first within a lane; interactive
and booking requests take turns, and whatever has waited for half its time joins them.
*/
export class WaitQueue<T extends QueuedItem> {
	private readonly _lanes = new Map<QueueLane, LaneState<T>>(tiers.flat().map(lane => [lane, createLane<T>()]));
	private readonly _ageing = new Heap<Ticket<T>>((a, b) => a.agedAt - b.agedAt);
	private readonly _tickets = new Map<T, Ticket<T>>();
	private _heldBytes = 0;
	private _sequence = 0;

	constructor(private readonly _limits: QueueLimits) {}

	get size(): number {
		return this._tickets.size;
	}

	get heldBytes(): number {
		return this._heldBytes;
	}

	/** Adds a request; false when the queue is full by count or bytes. */
	addItem(item: T): boolean {
		if (this._tickets.size >= this._limits.maxRequests || this._heldBytes + item.heldBytes > this._limits.maxBytes) {
			return false;
		}

		const allowanceMs = item.deadlineAt - item.enqueuedAt;
		const ticket: Ticket<T> = {
			item,
			orderAt: Math.min(item.deadlineAt, item.enqueuedAt + (2 * agedAfterMs)),
			sequence: this._sequence++,
			agedAt: item.enqueuedAt + Math.min(agedAfterMs, allowanceMs * agedAfterAllowanceRatio),
			lane: undefined,
		};
		this._tickets.set(item, ticket);
		this._heldBytes += item.heldBytes;
		this._enterLane(ticket, chooseLane(item));
		if (canAge(item)) {
			this._ageing.push(ticket);
		}

		return true;
	}

	/** Takes a request out; false when it was not in the queue. */
	removeItem(item: T): boolean {
		const ticket = this._tickets.get(item);
		if (ticket === undefined) {
			return false;
		}

		this._tickets.delete(item);
		this._heldBytes -= item.heldBytes;
		this._leaveLane(ticket);
		return true;
	}

	/**
	Takes out the first request, in the order of service, that can be served.
	@param serve - Tries to serve a request; undefined when it has to wait on.
	*/
	takeNext<R>(now: number, serve: (item: T) => R | undefined): {readonly item: T; readonly served: R} | undefined {
		this._moveAged(now);
		for (const tier of tiers) {
			for (const lane of this._sortTurns(tier)) {
				const item = this._peek(lane);
				const served = item === undefined ? undefined : serve(item);
				if (item !== undefined && served !== undefined) {
					this._countServed(lane, item);
					this.removeItem(item);
					return {item, served};
				}
			}
		}

		return undefined;
	}

	/** All waiting requests, in no order. */
	listItems(): T[] {
		return [...this._tickets.keys()];
	}

	/** Work that would be served before a new request like this one, in ms of slot time. */
	computeWorkAhead(item: QueuedItem): number {
		const own = chooseLane(item);
		let workMs = 0;
		for (const tier of tiers) {
			if (!tier.includes(own)) {
				workMs += this._sumCost(tier);
				continue;
			}

			const ownMs = this._lanes.get(own)?.costMs ?? 0;
			const others = tier.filter(lane => lane !== own && (this._lanes.get(lane)?.count ?? 0) > 0);
			// In turns, the other lanes of the tier get no more work done than the own lane.
			return workMs + Math.min(this._sumCost(tier), (ownMs + item.costMs) * (others.length + 1));
		}

		return workMs;
	}

	private _sumCost(lanes: readonly QueueLane[]): number {
		let sum = 0;
		for (const lane of lanes) {
			sum += this._lanes.get(lane)?.costMs ?? 0;
		}

		return sum;
	}

	private _enterLane(ticket: Ticket<T>, lane: QueueLane): void {
		const state = this._lanes.get(lane);
		if (state === undefined) {
			return;
		}

		if (state.count === 0) {
			this._catchUp(lane, state);
		}

		ticket.lane = lane;
		state.heap.push(ticket);
		state.count++;
		state.costMs += ticket.item.costMs;
	}

	private _leaveLane(ticket: Ticket<T>): void {
		const state = ticket.lane === undefined ? undefined : this._lanes.get(ticket.lane);
		ticket.lane = undefined;
		if (state !== undefined) {
			state.count--;
			state.costMs = state.count === 0 ? 0 : state.costMs - ticket.item.costMs;
		}
	}

	/** A lane that was empty gets no turns for the time in which it asked for none. */
	private _catchUp(lane: QueueLane, state: LaneState<T>): void {
		const tier = tiers.find(lanes => lanes.includes(lane)) ?? [];
		const served = tier.map(other => this._lanes.get(other)).filter(other => other !== undefined && other.count > 0).map(other => other?.servedMs ?? 0);
		state.servedMs = Math.max(state.servedMs, served.length === 0 ? 0 : Math.min(...served));
	}

	private _countServed(lane: QueueLane, item: T): void {
		const state = this._lanes.get(lane);
		if (state !== undefined) {
			state.servedMs += Math.max(1, item.costMs);
		}
	}

	private _sortTurns(tier: readonly QueueLane[]): readonly QueueLane[] {
		if (tier.length === 1) {
			return tier;
		}

		return tier.toSorted((a, b) => (this._lanes.get(a)?.servedMs ?? 0) - (this._lanes.get(b)?.servedMs ?? 0));
	}

	private _peek(lane: QueueLane): T | undefined {
		const heap = this._lanes.get(lane)?.heap;
		for (let ticket = heap?.peek(); ticket !== undefined; ticket = heap?.peek()) {
			if (ticket.lane === lane) {
				return ticket.item;
			}

			heap?.pop();
		}

		return undefined;
	}

	private _moveAged(now: number): void {
		for (let ticket = this._ageing.peek(); ticket !== undefined && (ticket.lane === undefined || ticket.agedAt <= now); ticket = this._ageing.peek()) {
			this._ageing.pop();
			if (ticket.lane !== undefined) {
				this._leaveLane(ticket);
				this._enterLane(ticket, ticket.item.isLong ? QueueLane.AgedLong : QueueLane.AgedShort);
			}
		}
	}
}
