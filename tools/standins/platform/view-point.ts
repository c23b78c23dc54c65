/** A state of the store's values: as they were at a time in ms, without publications after an index. */
export type ViewPoint = {readonly at: number; readonly index: number};
