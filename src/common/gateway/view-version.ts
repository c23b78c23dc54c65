import type {EvacuationVersion} from './evacuation-version.js';

/** Versions and ages of the configuration and the list of targets that an instance holds. */
export type ViewVersion = {
	/** Version of the configuration; 0 while there is none. */
	readonly configuration: number;
	/** Newest version of the configuration that is known to exist, where it is not held. Absent otherwise, and in messages of versions that do not pass it on. */
	readonly newestConfiguration?: number;
	/** Time since the configuration was last confirmed to be the newest in the registry, in ms. */
	readonly configurationAgeMs: number;
	/** Registry revision up to which the list of targets is complete; 0 while there is none. */
	readonly targets: number;
	/**
	Generation of the list; revisions are compared within one only, and a list of a higher one replaces the held list. Absent for 0, and in messages
	of versions that know none.
	*/
	readonly targetsGeneration?: number;
	/** Time since the list was last confirmed in the registry, in ms. */
	readonly targetsAgeMs: number;
	/** Version of the set of evacuations. Absent where the settings name none, and in messages of versions that know none. */
	readonly evacuations?: EvacuationVersion;
};
