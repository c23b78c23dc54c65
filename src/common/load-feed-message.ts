import type {TargetCounts} from './target-counts.js';

/** Message of the load feed between entries; the indexes of changes refer to the targets of the latest message of kind `whole`. */
export type LoadFeedMessage =
	| {readonly kind: 'whole'; readonly targets: readonly TargetCounts[]}
	| {readonly kind: 'changes'; readonly changes: ReadonlyArray<readonly [index: number, inFlight: number, longInFlight: number, shortMs: number, draining: 0 | 1]>};
