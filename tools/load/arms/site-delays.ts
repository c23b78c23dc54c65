import {SiteName} from '../../site/site-name.js';

type SiteDelays = {
	/** Between callers and entries, one way, in ms. */
	readonly callerMs: number;
	/** Between entries and targets, one way, in ms. */
	readonly targetMs: number;
};

/** Network delays of the sites of the brief. */
export const siteDelays: Readonly<Record<SiteName, SiteDelays>> = {
	[SiteName.Wigroom]: {callerMs: 1, targetMs: 1.5},
	[SiteName.Urdaneta]: {callerMs: 8, targetMs: 1.5},
};
