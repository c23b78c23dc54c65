import type {TargetLease} from './target-lease.js';

/** Result of asking for a hedge: a slot for it, the time in ms after which to ask again, or that a hedge can no longer help. */
export type HedgeOffer =
	| {readonly kind: 'granted'; readonly lease: TargetLease}
	| {readonly kind: 'later'; readonly delayMs: number}
	| {readonly kind: 'never'};
