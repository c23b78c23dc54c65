import type {SourceFailure} from './source-failure.js';

/** A read of the site's registry that failed. */
export type SourceError = {
	readonly failure: SourceFailure;
	/** What happened, with the names and values concerned. */
	readonly detail: string;
};
