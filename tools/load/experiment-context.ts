import type {DisposableStore} from '../../src/common/disposable-store.js';
import type {SiteName} from '../site/site-name.js';

/** What an experiment is given. */
export type ExperimentContext = {
	readonly seed: number;
	/** Time of load for each arm, in seconds; undefined means the experiment's own default. */
	readonly seconds: number | undefined;
	/** Sites to run; undefined means the experiment's own default. */
	readonly sites: readonly SiteName[] | undefined;
	/** What the experiment starts is added here and ends with it. */
	readonly store: DisposableStore;
	/** Prints a line about the progress to standard error. */
	readonly log: (line: string) => void;
};
