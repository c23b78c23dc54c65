import type {TargetShare} from './target-share.js';

/** A message of the load feed between entries; changes refer to the order of targets in the latest whole message. */
export type ShareMessage =
	| {readonly kind: 'whole'; readonly targets: readonly TargetShare[]}
	| {readonly kind: 'changes'; readonly changes: ReadonlyArray<readonly [index: number, inFlight: number, longInFlight: number, shortMs: number, draining: 0 | 1]>};
