import type {ExperimentContext} from './experiment-context.js';
import type {ExperimentResult} from './report/experiment-result.js';

/** An experiment that `rattansill-load run` starts by its name. */
export type Experiment = {
	readonly name: string;
	/** One sentence, shown by `rattansill-load list`. */
	readonly description: string;
	/** Runs the load, measures, and compares the results with the experiment's bounds. */
	run(context: ExperimentContext): Promise<ExperimentResult>;
};
