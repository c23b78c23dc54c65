/** Selects a past state of the store: values published no later than a time in ms and an index. */
export type SnapshotPoint = {readonly at: number; readonly index: number};
