import type {TopLevelSpec} from 'vega-lite';

/** A plot of a report. */
export type Plot = {
	readonly title: string;
	/** Specification in vega-lite, with its data inline. */
	readonly spec: TopLevelSpec;
};
