import {describe, expect, it} from 'vitest';
import {parseLoadReport} from './parse-load-report.js';

describe('parseLoadReport', () => {
	it.each([
		{headers: ['Endpoint-Load-Metrics', 'TEXT named_metrics.in_flight=2, named_metrics.queued=3'], report: {inFlight: 2, queued: 3, draining: false}},
		{headers: ['endpoint-load-metrics', 'TEXT cpu_utilization=0.5, named_metrics.in_flight=1,named_metrics.draining=1'], report: {inFlight: 1, queued: 0, draining: true}},
		{headers: ['X-Draining', 'true'], report: {inFlight: 0, queued: 0, draining: true}},
		{headers: ['x-draining', 'false'], report: undefined},
		{headers: ['endpoint-load-metrics', 'TEXT cpu_utilization=0.5'], report: undefined},
		{headers: ['endpoint-load-metrics', 'JSON {"named_metrics":{}}'], report: undefined},
		{headers: ['endpoint-load-metrics', 'TEXT named_metrics.in_flight=-2'], report: undefined},
		{headers: ['endpoint-load-metrics', `TEXT named_metrics.in_flight=2,${'x'.repeat(2000)}`], report: undefined},
		{headers: ['content-length', '2'], report: undefined},
	])('reads $headers', ({headers, report}) => {
		expect(parseLoadReport(headers, 'x-draining')).toEqual(report);
	});
});
