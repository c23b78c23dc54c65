import type {GatewayConfiguration} from './gateway-configuration.js';

/** A configuration as one instance passes it to another. */
export type PublishedConfiguration = {
	readonly configuration: GatewayConfiguration;
	/** Time since the configuration was last confirmed to be the newest in the registry, in ms. */
	readonly ageMs: number;
};
