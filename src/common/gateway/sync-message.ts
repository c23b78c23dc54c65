import type {GatewayConfiguration} from './gateway-configuration.js';
import type {GatewayMember} from './gateway-member.js';
import type {GatewayTarget} from './gateway-target.js';
import type {ViewVersion} from './view-version.js';

/** What two instances tell each other in one round; values only where the receiver is known to hold older ones. */
export type SyncMessage = {
	readonly from: string;
	readonly members: readonly GatewayMember[];
	readonly view: ViewVersion;
	readonly configuration?: GatewayConfiguration;
	readonly targets?: readonly GatewayTarget[];
};
