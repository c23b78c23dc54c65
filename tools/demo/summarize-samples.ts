import {CallOutcome} from '../load/callers/call-outcome.js';
import type {CallSample} from '../load/callers/call-sample.js';
import {LatencyHistogram} from '../load/measure/latency-histogram.js';

const countOutcomes = (samples: readonly CallSample[], ...outcomes: readonly CallOutcome[]): number => samples.filter(sample => outcomes.includes(sample.outcome)).length;

const summarizeService = (service: string, samples: readonly CallSample[]): Record<string, string | number> => {
	const completed = samples.filter(sample => sample.outcome === CallOutcome.Complete);
	const latencies = new LatencyHistogram(completed.map(sample => sample.latencyMs));
	return {
		service,
		sent: samples.length,
		'complete responses': completed.length,
		'not run': countOutcomes(samples, CallOutcome.NotRun),
		unknown: countOutcomes(samples, CallOutcome.Unknown, CallOutcome.Ran),
		'target errors': countOutcomes(samples, CallOutcome.TargetError),
		'no response': countOutcomes(samples, CallOutcome.NoResponse, CallOutcome.Mismatched),
		'p50 ms': latencies.getPercentile(50),
		'p99 ms': latencies.getPercentile(99),
	};
};

/** Summarizes samples as one table row per service; latencies cover complete responses only. */
export const summarizeSamples = (samples: readonly CallSample[]): ReadonlyArray<Record<string, string | number>> => {
	const services = [...new Set(samples.map(sample => sample.service))];
	return services.map(service => summarizeService(service, samples.filter(sample => sample.service === service)));
};
