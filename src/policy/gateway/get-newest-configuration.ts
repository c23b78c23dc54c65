import type {ViewVersion} from '../../common/gateway/view-version.js';

/** Gets the newest version of the configuration that an instance holds or knows to exist; 0 for none. */
export const getNewestConfiguration = ({configuration, newestConfiguration = 0}: Pick<ViewVersion, 'configuration' | 'newestConfiguration'>): number => Math.max(configuration, newestConfiguration);
