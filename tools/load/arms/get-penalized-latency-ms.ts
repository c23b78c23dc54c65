import {CallOutcome} from '../callers/call-outcome.js';
import type {CallSample} from '../callers/call-sample.js';
import type {RequestKind} from '../callers/request-kind.js';

/** Gets the latency of a request in ms. Without a complete response, it is at least the deadline, so that refusals do not improve the tail latency. */
export const getPenalizedLatencyMs = (sample: CallSample, kind: RequestKind): number => sample.outcome === CallOutcome.Complete ? sample.latencyMs : Math.max(sample.latencyMs, kind.deadlineMs);
