/** Source of random numbers from 0 up to, but not including, 1. */
export type RandomSource = () => number;
