import {knee} from './knee.js';

/**
Slots of a target that are worth using: filling all of them slows every request by the knee's factor, which with many slots
costs more throughput than the last slots add.
*/
export const computeUsableSlots = (slots: number): number => {
	const belowKnee = Math.floor(slots * knee.share);
	return belowKnee >= slots / knee.factor ? belowKnee : slots;
};
