/** Metrics of one arm of an experiment; their names contain the unit. */
export type ArmResult = {readonly [metric: string]: string | number; readonly name: string};
