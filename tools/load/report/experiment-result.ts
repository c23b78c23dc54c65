import type {ArmResult} from './arm-result.js';
import type {CheckResult} from './check-result.js';
import type {Plot} from './plot.js';

/** Results of an experiment. */
export type ExperimentResult = {
	readonly arms: readonly ArmResult[];
	readonly checks: readonly CheckResult[];
	readonly plots?: readonly Plot[];
	/** Sentences on how the results were measured. */
	readonly notes?: readonly string[];
};
