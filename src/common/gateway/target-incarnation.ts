import type {GatewayTarget} from './gateway-target.js';

/** One start of a target; after a restart under the same id, nothing that was known of it applies. */
export type TargetIncarnation = Pick<GatewayTarget, 'id' | 'startedAt'>;
