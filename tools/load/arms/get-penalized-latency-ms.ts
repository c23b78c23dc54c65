import {CallOutcome} from '../callers/call-outcome.js';
import type {CallSample} from '../callers/call-sample.js';
import type {RequestKind} from '../callers/request-kind.js';

/** Gets a request's latency in ms; one without a whole answer is charged with its whole deadline, so that refusals shorten no tail. */
export const getPenalizedLatencyMs = (sample: CallSample, kind: RequestKind): number => sample.outcome === CallOutcome.Whole ? sample.latencyMs : Math.max(sample.latencyMs, kind.deadlineMs);
