import {describe, expect, it} from 'vitest';
import {renderMetrics} from './render-metrics.js';
import {ScrapedMetrics} from './scraped-metrics.js';

describe('renderMetrics', () => {
	it.each([
		['a counter', 'rattansill_request_count_total{service="s1"} 3'],
		['a gauge', 'rattansill_queue_waiting 7'],
		['a histogram bucket', 'rattansill_request_duration_ms_bucket{le="200",service="s1"} 2'],
		['a lower bucket, without the counts above it', 'rattansill_request_duration_ms_bucket{le="100",service="s1"} 1'],
		['the +Inf bucket', 'rattansill_request_duration_ms_bucket{le="+Inf",service="s1"} 3'],
		['the sum of a histogram', 'rattansill_request_duration_ms_sum{service="s1"} 20240'],
	])('writes %s', async (_name, line) => {
		const metrics = new ScrapedMetrics();
		metrics.countEvent('request.count', {service: 's1'});
		metrics.countEvent('request.count', {service: 's1'}, 2);
		metrics.recordGauge('queue.waiting', 7);
		for (const durationMs of [90, 150, 20_000]) {
			metrics.recordDuration('request.duration', durationMs, {service: 's1'});
		}

		const text = await renderMetrics(metrics.series);
		expect(text.split('\n')).toContain(line);
	});

	it('drops records of series beyond the limit and counts them', async () => {
		const metrics = new ScrapedMetrics();
		for (let index = 0; index < 600; index++) {
			metrics.countEvent('request.count', {service: `s${index}`});
		}

		expect(await renderMetrics(metrics.series)).toContain('rattansill_metrics_dropped_total 100');
	});
});
