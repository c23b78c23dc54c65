import {SiteName} from '../../site/site-name.js';

type SiteDelays = {
	/** One-way delay between callers and instances, in ms. */
	readonly callerMs: number;
	/** One-way delay between instances and targets, in ms. */
	readonly targetMs: number;
};

/** Simulated network delays of each site. */
export const siteDelays: Readonly<Record<SiteName, SiteDelays>> = {
	[SiteName.Wigroom]: {callerMs: 1, targetMs: 1.5},
	[SiteName.Urdaneta]: {callerMs: 8, targetMs: 1.5},
};
