import {Heap} from 'heap-js';
import {RequestClass} from '../../common/request-class.js';
import {chooseLane} from './choose-lane.js';
import {QueueLane} from './queue-lane.js';
import type {QueuedItem} from './queued-item.js';

type QueueNode<T> = {
	readonly item: T;
	/** Sort key within a lane: the deadline, but at most `2 * agedAfterMs` after arrival, so that a request with a far deadline is served in finite time. */
	readonly effectiveDeadlineAt: number;
	/** Order of arrival; breaks ties. */
	readonly sequence: number;
	/** Time at which the request moves to an aged lane, if it can age. */
	readonly agedAt: number;
	/** Undefined once the request has left the queue. */
	lane: QueueLane | undefined;
};

type LaneState<T> = {
	readonly heap: Heap<QueueNode<T>>;
	count: number;
	costMs: number;
	/** Cost of the requests served from the lane, in ms; the lane of a tier with the lowest value goes next. */
	servedMs: number;
};

type QueueLimits = {
	readonly maxRequests: number;
	readonly maxBytes: number;
};

/** A request ages after this time or this share of the time to its deadline, whichever is shorter. */
const agedAfterMs = 10_000;
const agedAfterRatio = 0.5;

/** Lanes by priority; lanes of one tier share slot time fairly. */
const tiers: ReadonlyArray<readonly QueueLane[]> = [
	[QueueLane.InteractiveShort, QueueLane.BookingShort, QueueLane.AgedShort, QueueLane.AgedLong],
	[QueueLane.InteractiveLong, QueueLane.BookingLong],
	[QueueLane.InteractiveRetry, QueueLane.BookingRetry],
	[QueueLane.DeferrableShort],
	[QueueLane.DeferrableLong],
	[QueueLane.DeferrableRetry],
];

/** Short first attempts of interactive and booking requests are excluded: their lanes are in the first tier already. */
const canAge = ({isLong, isRetry, requestClass}: QueuedItem): boolean => isLong || isRetry || requestClass === RequestClass.Deferrable;

const createLaneState = <T>(): LaneState<T> => ({
	heap: new Heap<QueueNode<T>>((a, b) => a.effectiveDeadlineAt - b.effectiveDeadlineAt || a.sequence - b.sequence), count: 0, costMs: 0, servedMs: 0,
});

/**
Priority queue of the requests of one service that wait for a slot.
Short requests go before long ones, first attempts before retries and deferrable requests last. Within a lane the
earliest deadline goes first. Interactive and booking requests share slot time fairly, and a request that has waited
for half the time to its deadline, or for 10 s, joins them in the first tier.
*/
export class WaitQueue<T extends QueuedItem> {
	private readonly _lanes = new Map<QueueLane, LaneState<T>>(tiers.flat().map(lane => [lane, createLaneState<T>()]));
	private readonly _agingHeap = new Heap<QueueNode<T>>((a, b) => a.agedAt - b.agedAt);
	private readonly _nodes = new Map<T, QueueNode<T>>();
	private _heldBytes = 0;
	private _sequence = 0;

	constructor(private readonly _limits: QueueLimits) {}

	get size(): number {
		return this._nodes.size;
	}

	get heldBytes(): number {
		return this._heldBytes;
	}

	/** Adds a request; returns false when the queue is full by count or bytes. */
	addItem(item: T): boolean {
		if (this._nodes.size >= this._limits.maxRequests || this._heldBytes + item.heldBytes > this._limits.maxBytes) {
			return false;
		}

		const timeToDeadlineMs = item.deadlineAt - item.enqueuedAt;
		const node: QueueNode<T> = {
			item,
			effectiveDeadlineAt: Math.min(item.deadlineAt, item.enqueuedAt + (2 * agedAfterMs)),
			sequence: this._sequence++,
			agedAt: item.enqueuedAt + Math.min(agedAfterMs, timeToDeadlineMs * agedAfterRatio),
			lane: undefined,
		};
		this._nodes.set(item, node);
		this._heldBytes += item.heldBytes;
		this._addToLane(node, chooseLane(item));
		if (canAge(item)) {
			this._agingHeap.push(node);
		}

		return true;
	}

	/** Removes a request; returns false when it is not in the queue. */
	removeItem(item: T): boolean {
		const node = this._nodes.get(item);
		if (node === undefined) {
			return false;
		}

		this._nodes.delete(item);
		this._heldBytes -= item.heldBytes;
		this._removeFromLane(node);
		return true;
	}

	/**
	Removes and returns the first request, in order of service, that can be served.
	@param serve - Tries to serve a request; returns undefined when the request has to keep waiting.
	*/
	takeNext<R>(now: number, serve: (item: T) => R | undefined): {readonly item: T; readonly served: R} | undefined {
		this._promoteAged(now);
		for (const tier of tiers) {
			for (const lane of this._sortByServedMs(tier)) {
				const item = this._peekLane(lane);
				const served = item === undefined ? undefined : serve(item);
				if (item !== undefined && served !== undefined) {
					this._recordServed(lane, item);
					this.removeItem(item);
					return {item, served};
				}
			}
		}

		return undefined;
	}

	/** All waiting requests, in no particular order. */
	listItems(): T[] {
		return [...this._nodes.keys()];
	}

	/** Work that would be served before a new request like this one, in ms of slot time. */
	computeWorkAhead(item: QueuedItem): number {
		const ownLane = chooseLane(item);
		let workMs = 0;
		for (const tier of tiers) {
			if (!tier.includes(ownLane)) {
				workMs += this._sumCostMs(tier);
				continue;
			}

			const ownMs = this._lanes.get(ownLane)?.costMs ?? 0;
			const otherActiveLanes = tier.filter(lane => lane !== ownLane && (this._lanes.get(lane)?.count ?? 0) > 0);
			// With fair sharing, each other lane of the tier is given no more work than the lane of the request.
			return workMs + Math.min(this._sumCostMs(tier), (ownMs + item.costMs) * (otherActiveLanes.length + 1));
		}

		return workMs;
	}

	private _sumCostMs(lanes: readonly QueueLane[]): number {
		let sum = 0;
		for (const lane of lanes) {
			sum += this._lanes.get(lane)?.costMs ?? 0;
		}

		return sum;
	}

	private _addToLane(node: QueueNode<T>, lane: QueueLane): void {
		const state = this._lanes.get(lane);
		if (state === undefined) {
			return;
		}

		if (state.count === 0) {
			this._raiseServedMs(lane, state);
		}

		node.lane = lane;
		state.heap.push(node);
		state.count++;
		state.costMs += node.item.costMs;
	}

	private _removeFromLane(node: QueueNode<T>): void {
		const state = node.lane === undefined ? undefined : this._lanes.get(node.lane);
		node.lane = undefined;
		if (state !== undefined) {
			state.count--;
			state.costMs = state.count === 0 ? 0 : state.costMs - node.item.costMs;
		}
	}

	/** Raises the served work of an empty lane to the least among the active lanes of its tier, so that idle time earns no priority. */
	private _raiseServedMs(lane: QueueLane, state: LaneState<T>): void {
		const tier = tiers.find(lanes => lanes.includes(lane)) ?? [];
		const activeServedMs = tier.map(other => this._lanes.get(other)).filter(other => other !== undefined && other.count > 0).map(other => other?.servedMs ?? 0);
		state.servedMs = Math.max(state.servedMs, activeServedMs.length === 0 ? 0 : Math.min(...activeServedMs));
	}

	private _recordServed(lane: QueueLane, item: T): void {
		const state = this._lanes.get(lane);
		if (state !== undefined) {
			state.servedMs += Math.max(1, item.costMs);
		}
	}

	private _sortByServedMs(tier: readonly QueueLane[]): readonly QueueLane[] {
		if (tier.length === 1) {
			return tier;
		}

		return tier.toSorted((a, b) => (this._lanes.get(a)?.servedMs ?? 0) - (this._lanes.get(b)?.servedMs ?? 0));
	}

	private _peekLane(lane: QueueLane): T | undefined {
		const heap = this._lanes.get(lane)?.heap;
		for (let node = heap?.peek(); node !== undefined; node = heap?.peek()) {
			if (node.lane === lane) {
				return node.item;
			}

			heap?.pop();
		}

		return undefined;
	}

	private _promoteAged(now: number): void {
		for (let node = this._agingHeap.peek(); node !== undefined && (node.lane === undefined || node.agedAt <= now); node = this._agingHeap.peek()) {
			this._agingHeap.pop();
			if (node.lane !== undefined) {
				this._removeFromLane(node);
				this._addToLane(node, node.item.isLong ? QueueLane.AgedLong : QueueLane.AgedShort);
			}
		}
	}
}
