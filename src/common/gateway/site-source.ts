import type {Result} from 'neverthrow';
import type {GatewayConfiguration} from './gateway-configuration.js';
import type {SourceError} from './source-error.js';
import type {TargetList} from './target-list.js';

/** Where a gateway learns the configuration and the targets of its site; nothing is written there. */
export type SiteSource = {
	/** Reads the newest configuration; undefined while there is none. */
	readConfiguration(): Promise<Result<GatewayConfiguration | undefined, SourceError>>;
	/** Resolves with true when the configuration has changed since the last read or wait, with false after the longest wait. */
	waitForChange(): Promise<Result<boolean, SourceError>>;
	/** Reads the list of targets as it is at the registry now. */
	readTargets(): Promise<Result<TargetList, SourceError>>;
};
