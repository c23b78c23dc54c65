import type {GatewayConfiguration} from './gateway-configuration.js';

/** A configuration as one instance hands it to another. */
export type PublishedConfiguration = {
	readonly configuration: GatewayConfiguration;
	/** Time since the registry was seen to have no newer one, in ms. */
	readonly ageMs: number;
};
