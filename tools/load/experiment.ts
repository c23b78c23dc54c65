import type {ExperimentContext} from './experiment-context.js';
import type {ExperimentResult} from './report/experiment-result.js';

/** A measurement that `rattansill-load run` starts by its name. */
export type Experiment = {
	readonly name: string;
	/** One sentence for the list of experiments. */
	readonly description: string;
	/** Starts what it needs, measures, and checks its targets. */
	run(context: ExperimentContext): Promise<ExperimentResult>;
};
