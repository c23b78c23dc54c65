import type {GatewayRoute} from '../../common/gateway/gateway-route.js';
import type {ServicePriority} from '../../common/gateway/service-priority.js';

/** Lists the priorities of the routes that send requests to a service, the highest first. */
export const listServicePriorities = (routes: ReadonlyArray<Pick<GatewayRoute, 'shares' | 'priority' | 'objectiveMs'>>, service: string): ServicePriority[] => {
	const objectives = new Map<number, number>();
	for (const {shares, priority, objectiveMs} of routes) {
		if (shares.some(share => share.service === service && share.weight > 0)) {
			objectives.set(priority, Math.min(objectiveMs, objectives.get(priority) ?? Number.POSITIVE_INFINITY));
		}
	}

	return [...objectives].map(([priority, objectiveMs]) => ({priority, objectiveMs})).sort((a, b) => a.priority - b.priority);
};
