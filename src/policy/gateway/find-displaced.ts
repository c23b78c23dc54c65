type WaitingRequest = {
	readonly objectiveAt: number;
	readonly deadlineAt: number;
	/** 0 is the highest priority. */
	readonly priority: number;
};

type Arrival = {
	/** Priority of the request that has arrived. */
	readonly priority: number;
	readonly now: number;
	/** Expected duration at an idle target, in ms. */
	readonly usualMs: number;
	/** Expected time between two slots that become free for the queue, in ms. */
	readonly msPerSlot: number;
	/** Number of requests that look for slots at the same time, so that they do not wait for each other. */
	readonly lookingCount: number;
};

type Displaced<T> = {readonly item: T; readonly waitMs: number};

/**
Finds the requests that an arriving, more urgent one displaces: timely ones that are expected to miss their objective behind it, and late ones their deadline.
@param items - The queue with the arriving request, in its order.
*/
export const findDisplaced = <T extends WaitingRequest>(items: readonly T[], {priority, now, usualMs, msPerSlot, lookingCount}: Arrival): Array<Displaced<T>> => {
	const earliestEnd = now + usualMs;
	const displaced: Array<Displaced<T>> = [];
	let aheadCount = 0;
	for (const [isLate, limitName] of [[false, 'objectiveAt'], [true, 'deadlineAt']] as const) {
		for (const item of items.filter(({objectiveAt}) => (objectiveAt < earliestEnd) === isLate)) {
			const waitMs = Math.max(0, aheadCount + 1 - lookingCount) * msPerSlot;
			if (item.priority > priority && earliestEnd + waitMs > item[limitName]) {
				displaced.push({item, waitMs});
			} else {
				aheadCount++;
			}
		}
	}

	return displaced;
};
