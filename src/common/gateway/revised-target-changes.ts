import type {TargetChanges} from './target-changes.js';

/** Changes in the list of targets, and the registry revision up to which they are complete. */
export type RevisedTargetChanges = TargetChanges & {readonly revision: number};
