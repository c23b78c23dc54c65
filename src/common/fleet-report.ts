import type {FleetStatus} from './fleet-status.js';

/** What the instances of a fleet believe, side by side. */
export type FleetReport = {
	readonly instances: readonly FleetStatus[];
	/** Instances that some other believes live and that did not answer. */
	readonly silent: readonly string[];
	/** Where the instances do not agree, in words. */
	readonly disagreements: readonly string[];
	/** Configuration values that some instance refused, in words. */
	readonly refused: readonly string[];
	/** Calls a second and watches of all instances together that the budgets allow, and watches open now. */
	readonly budget: {readonly callsPerSecond: number; readonly watchLimit: number; readonly watches: number};
};
