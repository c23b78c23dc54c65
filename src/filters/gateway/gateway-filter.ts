import type {BufferedResponse} from '../../common/gateway/buffered-response.js';
import type {Filter} from '../filter.js';
import type {GatewayContext} from './gateway-context.js';

/** One step of the filter chain that handles every request to a gateway. */
export type GatewayFilter = Filter<GatewayContext, BufferedResponse>;
