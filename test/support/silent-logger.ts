import type {Logger} from '../../src/common/logger.js';

/** Logger that discards everything. */
export const silentLogger: Logger = {logError: () => undefined, logInfo: () => undefined, logDebug: () => undefined};
