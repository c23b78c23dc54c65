import {
	ROOT_CONTEXT, SpanKind, SpanStatusCode, TraceFlags, trace, type Span, type Tracer,
} from '@opentelemetry/api';
import {parseTraceParent} from '@opentelemetry/core';
import {OTLPTraceExporter} from '@opentelemetry/exporter-trace-otlp-http';
import {resourceFromAttributes} from '@opentelemetry/resources';
import {
	BasicTracerProvider, BatchSpanProcessor, ParentBasedSampler, TraceIdRatioBasedSampler,
} from '@opentelemetry/sdk-trace-base';
import type {DisposableLike} from '../common/disposable-like.js';
import {productVersion} from '../common/product-version.js';
import type {RequestTracer} from '../common/request-tracer.js';
import type {TraceSpan} from '../common/trace-span.js';

type OtlpTracerOptions = {
	/** OTLP/HTTP endpoint for traces. */
	readonly url: string;
	/** Fraction of requests to trace, among those without a sampling decision of the caller. */
	readonly sampleRatio: number;
	readonly instanceId: string;
	readonly failureDomain: string;
};

const exportTimeoutMs = 2000;
const exportIntervalMs = 1000;
/** Maximum number of spans that wait for export; further ones are dropped. */
const maxQueuedSpans = 2048;
const maxBatchSpans = 256;
const maxConcurrentExports = 2;

class OtlpSpan implements TraceSpan {
	constructor(private readonly _tracer: Tracer, private readonly _span: Span, private readonly _traceState: string | undefined) {}

	get isRecorded(): boolean {
		return this._span.isRecording();
	}

	get headers(): readonly string[] {
		const {traceId, spanId, traceFlags} = this._span.spanContext();
		const traceParent = `00-${traceId}-${spanId}-${Number(traceFlags) === Number(TraceFlags.SAMPLED) ? '01' : '00'}`;
		return this._traceState === undefined ? ['traceparent', traceParent] : ['traceparent', traceParent, 'tracestate', this._traceState];
	}

	startChild(name: string): TraceSpan {
		if (!this.isRecorded) {
			return this;
		}

		const span = this._tracer.startSpan(name, {kind: SpanKind.CLIENT}, trace.setSpan(ROOT_CONTEXT, this._span));
		return new OtlpSpan(this._tracer, span, this._traceState);
	}

	setField(name: string, value: string | number | boolean): void {
		this._span.setAttribute(name, value);
	}

	end(errorKind?: string): void {
		if (errorKind !== undefined) {
			this._span.setAttribute('error.type', errorKind);
			this._span.setStatus({code: SpanStatusCode.ERROR});
		}

		this._span.end();
	}
}

/** Traces requests and exports the spans over OTLP/HTTP. When the collector is unreachable, spans are lost and nothing else is affected. */
export class OtlpTracer implements RequestTracer, DisposableLike {
	private readonly _provider: BasicTracerProvider;
	private readonly _tracer: Tracer;

	constructor(options: OtlpTracerOptions) {
		const exporter = new OTLPTraceExporter({url: options.url, timeoutMillis: exportTimeoutMs, concurrencyLimit: maxConcurrentExports});
		this._provider = new BasicTracerProvider({
			resource: resourceFromAttributes(Object.fromEntries([
				['service.name', 'rattansill-entry'],
				['service.version', productVersion],
				['service.instance.id', options.instanceId],
				['cloud.availability_zone', options.failureDomain],
			])),
			sampler: new ParentBasedSampler({root: new TraceIdRatioBasedSampler(options.sampleRatio)}),
			spanProcessors: [new BatchSpanProcessor(exporter, {
				maxQueueSize: maxQueuedSpans, maxExportBatchSize: maxBatchSpans, scheduledDelayMillis: exportIntervalMs, exportTimeoutMillis: exportTimeoutMs,
			})],
		});
		this._tracer = this._provider.getTracer('rattansill', productVersion);
	}

	startRequest(traceParent: string | undefined, traceState: string | undefined): TraceSpan {
		const parent = traceParent === undefined ? null : parseTraceParent(traceParent);
		const context = parent === null ? ROOT_CONTEXT : trace.setSpanContext(ROOT_CONTEXT, {...parent, isRemote: true});
		const span = this._tracer.startSpan('rattansill.request', {kind: SpanKind.SERVER}, context);
		return new OtlpSpan(this._tracer, span, parent === null ? undefined : traceState);
	}

	dispose(): void {
		void this._shutDown();
	}

	private async _shutDown(): Promise<void> {
		try {
			await this._provider.shutdown();
		} catch {
			// The collector is unreachable; the remaining spans are lost.
		}
	}
}
