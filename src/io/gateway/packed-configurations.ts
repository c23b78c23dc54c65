import type {GatewayConfiguration} from '../../common/gateway/gateway-configuration.js';

/** Wire formats of configurations, as they were received or encoded, so that an instance passes on what it has received without encoding it again. */
export const packedConfigurations = new WeakMap<GatewayConfiguration, string>();
