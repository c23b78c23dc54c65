import type {FieldError} from './field-error.js';
import type {Member} from './member.js';

/** One instance's view of the fleet, as served on its operator port. */
export type FleetStatus = {
	readonly self: Member;
	readonly members: readonly Member[];
	/** Ids of the peers that this instance probes for failures. */
	readonly watchedPeers: readonly string[];
	readonly services: ReadonlyArray<{
		readonly name: string;
		readonly parametersRevision: number;
		readonly template: string;
		readonly templateRevision: number;
	}>;
	/** Newest known revision of each key, whether active or refused; includes deleted keys. */
	readonly revisions: Readonly<Record<string, number>>;
	readonly refused: ReadonlyArray<{readonly key: string; readonly revision: number; readonly errors: readonly FieldError[]}>;
	readonly platform: {
		/** Keys that this instance watches for the fleet. */
		readonly watchedKeys: readonly string[];
		/** Number of calls since the process started. */
		readonly callCount: number;
		readonly watchLimit: number;
		readonly callsPerSecond: number;
		/** Time since the last response of the configuration service, in ms; undefined before the first one. */
		readonly readAgeMs: number | undefined;
		readonly isStale: boolean;
	};
};
