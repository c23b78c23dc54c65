import type {TopLevelSpec} from 'vega-lite';

/** A plot in the HTML report. */
export type Plot = {
	readonly title: string;
	/** Vega-Lite specification with inline data. */
	readonly spec: TopLevelSpec;
};
