import type {DisposableStore} from '../../src/common/disposable-store.js';
import type {SiteName} from '../site/site-name.js';

/** The parameters and services that an experiment runs with. */
export type ExperimentContext = {
	readonly seed: number;
	/** Duration of the load on each arm, in seconds; the experiment's default when undefined. */
	readonly seconds: number | undefined;
	/** Sites to run on; the experiment's default when undefined. */
	readonly sites: readonly SiteName[] | undefined;
	/** Owns what the experiment starts; disposed when the experiment ends. */
	readonly store: DisposableStore;
	/** Prints a line of progress to standard error. */
	readonly log: (line: string) => void;
};
