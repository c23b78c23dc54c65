/** Figures of one arm of an experiment; names say the unit. */
export type ArmResult = {readonly [figure: string]: string | number; readonly name: string};
