import type {GatewayContext} from './gateway-context.js';
import type {GatewayResult} from './gateway-result.js';

/** Runs the rest of the filter chain. */
export type GatewayNext = (context: GatewayContext) => GatewayResult;
