import type {GatewayLimits} from './gateway-limits.js';
import type {GatewayRoute} from './gateway-route.js';
import type {GatewayService} from './gateway-service.js';

/** Complete configuration of a site at one version. */
export type GatewayConfiguration = {
	/** Increases with every change. */
	readonly version: number;
	readonly routes: readonly GatewayRoute[];
	readonly services: readonly GatewayService[];
	readonly limits: GatewayLimits;
};
