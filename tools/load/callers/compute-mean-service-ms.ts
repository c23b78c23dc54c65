import type {RequestKind} from './request-kind.js';

/** Computes the mean service time of a mix of log-normal request kinds at a target that is not slowed down, in ms. */
export const computeMeanServiceMs = (kinds: readonly RequestKind[]): number => kinds.reduce((sum, kind) => sum + (kind.share * kind.medianMs * Math.exp(kind.sigma * kind.sigma / 2)), 0);
