import type {RequestKind} from './request-kind.js';

/** Computes the mean time in ms that a request of a mix occupies a slot of a healthy target. */
export const computeMeanServiceMs = (kinds: readonly RequestKind[]): number => kinds.reduce((sum, kind) => sum + (kind.share * kind.medianMs * Math.exp(kind.sigma * kind.sigma / 2)), 0);
