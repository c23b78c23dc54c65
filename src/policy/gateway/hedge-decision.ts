import type {HedgeRefusal} from './hedge-refusal.js';

/** Whether a slow request is hedged now: 'refuse' when it may not be, 'stop' when a hedge can no longer help. */
export type HedgeDecision =
	| {readonly kind: 'send'}
	| {readonly kind: 'refuse'; readonly refusal: HedgeRefusal}
	| {readonly kind: 'stop'};
