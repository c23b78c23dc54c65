import {CallOutcome} from '../callers/call-outcome.js';
import type {CallSample} from '../callers/call-sample.js';
import type {RequestKind} from '../callers/request-kind.js';
import {LatencyHistogram} from '../measure/latency-histogram.js';
import type {ArmResult} from '../report/arm-result.js';
import {getPenalizedLatencyMs} from './get-penalized-latency-ms.js';
import type {ServiceWorkload} from './service-workload.js';

type KindSample = {readonly sample: CallSample; readonly kind: RequestKind};

const countOutcomes = (items: readonly KindSample[], ...outcomes: readonly CallOutcome[]): number => items.filter(({sample}) => outcomes.includes(sample.outcome)).length;

/** Samples of one arm under one condition, over all slices. */
export class ArmSamples {
	readonly items: KindSample[] = [];
	/** Processor time of all instances during the slices, in ms. */
	cpuMs = 0;

	/** @param name - Name of the arm and its condition. */
	constructor(readonly name: string) {}

	/** Adds the samples of a slice. */
	add(samples: readonly CallSample[], workloads: readonly ServiceWorkload[]): void {
		const kinds = new Map(workloads.map(item => [item.service, item.kinds]));
		for (const sample of samples) {
			const kind = kinds.get(sample.service)?.[sample.kind];
			if (kind !== undefined) {
				this.items.push({sample, kind});
			}
		}
	}

	/**
	 * Computes a percentile of the latency of short requests, in ms; a failed request counts with at least its deadline.
	 *
	 * @param percent - Percentile, 0 to 100.
	 * @param service - Limits the samples to one service.
	 */
	computeShortPercentile(percent: number, service?: string): number {
		const items = this.items.filter(({sample, kind}) => !kind.isLong && (service === undefined || sample.service === service));
		return new LatencyHistogram(items.map(({sample, kind}) => getPenalizedLatencyMs(sample, kind))).getPercentile(percent);
	}

	/** Creates the metrics for the report. */
	createResult(): ArmResult {
		const long = this.items.filter(({kind}) => kind.isLong);
		const services = [...new Set(this.items.map(({sample}) => sample.service))];
		return {
			name: this.name,
			requests: this.items.length,
			whole: countOutcomes(this.items, CallOutcome.Complete),
			notRun: countOutcomes(this.items, CallOutcome.NotRun),
			unknown: countOutcomes(this.items, CallOutcome.Unknown, CallOutcome.Ran),
			failed: countOutcomes(this.items, CallOutcome.TargetError, CallOutcome.NoResponse, CallOutcome.Mismatched),
			shortP50Ms: this.computeShortPercentile(50),
			shortP99Ms: this.computeShortPercentile(99),
			shortP999Ms: this.computeShortPercentile(99.9),
			...Object.fromEntries(services.map(service => [`${service}P99Ms`, this.computeShortPercentile(99, service)])),
			longP99Ms: new LatencyHistogram(long.map(({sample, kind}) => getPenalizedLatencyMs(sample, kind))).getPercentile(99),
			entryCpuMsPerCall: this.items.length === 0 ? 0 : this.cpuMs / this.items.length,
		};
	}
}
