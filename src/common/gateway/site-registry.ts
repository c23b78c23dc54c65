import type {Result} from 'neverthrow';
import type {GatewayConfiguration} from './gateway-configuration.js';
import type {RegistryError} from './registry-error.js';
import type {RevisedTargetChanges} from './revised-target-changes.js';
import type {TargetList} from './target-list.js';

/** Read-only access to the registry, which holds the configuration and the targets of a site. */
export type SiteRegistry = {
	/** Reads the newest configuration; undefined when none exists yet. */
	readConfiguration(): Promise<Result<GatewayConfiguration | undefined, RegistryError>>;
	/** Resolves with true once the configuration has changed since the last read or wait, or with false when the wait times out. */
	waitForChange(): Promise<Result<boolean, RegistryError>>;
	/** Resolves with the changes of the targets since the last read or wait, without any when the wait times out. */
	waitForTargetChanges(): Promise<Result<RevisedTargetChanges, RegistryError>>;
	/** Reads the current list of targets. */
	readTargets(): Promise<Result<TargetList, RegistryError>>;
};
