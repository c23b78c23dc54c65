import {SiteName} from './site-name.js';
import type {SiteLayout} from './site-layout.js';

/** Layouts of the example sites. */
export const siteLayouts: Readonly<Record<SiteName, SiteLayout>> = {
	[SiteName.Wigroom]: {
		team: 'morant',
		failureDomains: ['kingston-1', 'kingston-2', 'kingston-3', 'kingston-4'],
		services: ['lacefront', 'chairbook', 'showvault', 'shadecard'],
		entryCount: 18,
	},
	[SiteName.Urdaneta]: {
		team: 'urdaneta',
		failureDomains: ['santander', 'laredo', 'comillas'],
		services: ['catalogo', 'encargos', 'archivo', 'vientos'],
		entryCount: 18,
	},
};
