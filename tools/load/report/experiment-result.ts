import type {ArmResult} from './arm-result.js';
import type {CheckResult} from './check-result.js';
import type {Plot} from './plot.js';

/** What an experiment measured. */
export type ExperimentResult = {
	readonly arms: readonly ArmResult[];
	readonly checks: readonly CheckResult[];
	readonly plots?: readonly Plot[];
	/** How it was measured, in sentences. */
	readonly notes?: readonly string[];
};
