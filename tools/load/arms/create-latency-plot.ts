import type {Plot} from '../report/plot.js';
import type {ArmSamples} from './arm-samples.js';

const percents = [50, 75, 90, 95, 98, 99, 99.5, 99.9];

/** Creates a plot of the latency of short requests by percentile, with one line per arm. */
export const createLatencyPlot = (title: string, arms: readonly ArmSamples[]): Plot => ({
	title,
	spec: {
		width: 640,
		height: 320,
		data: {values: arms.flatMap(arm => percents.map(percent => ({arm: arm.name, percentile: String(percent), ms: arm.computeShortPercentile(percent)})))},
		mark: {type: 'line', point: true},
		encoding: {
			x: {field: 'percentile', type: 'ordinal', sort: null}, y: {field: 'ms', type: 'quantitative', scale: {type: 'log'}}, color: {field: 'arm', type: 'nominal'},
		},
	},
});
