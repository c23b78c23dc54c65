import type {Result} from 'neverthrow';
import type {GatewayConfiguration} from './gateway-configuration.js';
import type {SourceError} from './source-error.js';
import type {TargetList} from './target-list.js';

/** Read-only access to the registry, which holds the configuration and the targets of a site. */
export type SiteSource = {
	/** Reads the newest configuration; undefined when none exists yet. */
	readConfiguration(): Promise<Result<GatewayConfiguration | undefined, SourceError>>;
	/** Resolves with true once the configuration has changed since the last read or wait, or with false when the wait times out. */
	waitForChange(): Promise<Result<boolean, SourceError>>;
	/** Reads the current list of targets. */
	readTargets(): Promise<Result<TargetList, SourceError>>;
};
