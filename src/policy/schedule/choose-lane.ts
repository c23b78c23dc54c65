import {RequestClass} from '../../common/request-class.js';
import {QueueLane} from './queue-lane.js';
import type {QueuedItem} from './queued-item.js';

/** Returns the lane in which a request starts to wait, by class, then retry or first attempt, then size. */
export const chooseLane = ({requestClass, isLong, isRetry}: QueuedItem): QueueLane => {
	switch (requestClass) {
		case RequestClass.Interactive: {
			return isRetry ? QueueLane.InteractiveRetry : (isLong ? QueueLane.InteractiveLong : QueueLane.InteractiveShort);
		}

		case RequestClass.Booking: {
			return isRetry ? QueueLane.BookingRetry : (isLong ? QueueLane.BookingLong : QueueLane.BookingShort);
		}

		case RequestClass.Deferrable: {
			return isRetry ? QueueLane.DeferrableRetry : (isLong ? QueueLane.DeferrableLong : QueueLane.DeferrableShort);
		}
	}
};
