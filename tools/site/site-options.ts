import type {IncomingMessage} from 'node:http';
import type {SiteName} from './site-name.js';

/** What of a site is started. */
export type SiteOptions = {
	readonly site: SiteName;
	/** Entry instances; those of today when undefined. */
	readonly entryCount?: number;
	/** Services; all when undefined. */
	readonly services?: readonly string[];
	/** Targets a service; all when undefined. */
	readonly targetsPerService?: number;
	/** Time that a request occupies a slot, in ms. */
	readonly serviceTimeMs: (request: IncomingMessage) => number;
};
