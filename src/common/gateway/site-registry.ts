import type {Result} from 'neverthrow';
import type {EvacuationList} from './evacuation-list.js';
import type {GatewayConfiguration} from './gateway-configuration.js';
import type {OperatorChanges} from './operator-changes.js';
import type {RegistryError} from './registry-error.js';
import type {RevisedTargetChanges} from './revised-target-changes.js';
import type {StorePosition} from './store-position.js';
import type {TargetList} from './target-list.js';
import type {TargetWaitOptions} from './target-wait-options.js';

/** Read-only access to the registry, which holds the configuration and the targets of a site. */
export type SiteRegistry = {
	/** Reads the newest configuration; undefined when none exists yet. */
	readConfiguration(): Promise<Result<GatewayConfiguration | undefined, RegistryError>>;
	/** Reads which failure domains are evacuated. */
	readEvacuations(): Promise<Result<EvacuationList, RegistryError>>;
	/**
	Checks, without a read of the evacuations, whether they have changed after a state of the registry. Resolves at once with the present state when they have
	not, and with undefined when they have or may have.
	*/
	checkEvacuations(since: StorePosition): Promise<Result<StorePosition | undefined, RegistryError>>;
	/** Resolves once the configuration or the evacuations have changed since they were last read or awaited, or without changes when the wait times out. */
	waitForChange(): Promise<Result<OperatorChanges, RegistryError>>;
	/** Resolves with the changes of the targets since the last read or wait, without any when the wait times out. */
	waitForTargetChanges(options?: TargetWaitOptions): Promise<Result<RevisedTargetChanges, RegistryError>>;
	/** Reads the current list of targets. */
	readTargets(): Promise<Result<TargetList, RegistryError>>;
};
