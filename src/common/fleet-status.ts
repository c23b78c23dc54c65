import type {FieldError} from './field-error.js';
import type {Member} from './member.js';

/** What one instance believes of the fleet, as its operator port answers it. */
export type FleetStatus = {
	readonly self: Member;
	readonly members: readonly Member[];
	/** Peers that this instance watches. */
	readonly watchedPeers: readonly string[];
	readonly services: ReadonlyArray<{
		readonly name: string;
		readonly parametersRevision: number;
		readonly template: string;
		readonly templateRevision: number;
	}>;
	/** Newest revision held of each key, in force or refused; deleted keys included. */
	readonly revisions: Readonly<Record<string, number>>;
	readonly refused: ReadonlyArray<{readonly key: string; readonly revision: number; readonly errors: readonly FieldError[]}>;
	readonly platform: {
		/** Keys that this instance reads for the fleet. */
		readonly watchedKeys: readonly string[];
		/** Calls started since the process started. */
		readonly callCount: number;
		readonly watchLimit: number;
		readonly callsPerSecond: number;
		/** Time since the service last answered, in ms. */
		readonly readAgeMs: number | undefined;
		readonly isStale: boolean;
	};
};
