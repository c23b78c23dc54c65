import type {FleetStatus} from './fleet-status.js';

/** Status of all instances of the fleet, with the differences between their views. */
export type FleetReport = {
	readonly instances: readonly FleetStatus[];
	/** Ids of instances that did not respond although another instance considers them alive. */
	readonly silent: readonly string[];
	/** Human-readable descriptions of the differences between the instances' views. */
	readonly disagreements: readonly string[];
	/** Human-readable descriptions of the configuration values that an instance refused. */
	readonly refused: readonly string[];
	/** Calls per second and open watches that the budgets of all instances together allow, and the watches open now. */
	readonly budget: {readonly callsPerSecond: number; readonly watchLimit: number; readonly watches: number};
};
