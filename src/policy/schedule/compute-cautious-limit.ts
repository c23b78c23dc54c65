import type {ServiceSpec} from '../../common/service-spec.js';

/** Requests that an instance outside a service's entry set may have in flight: a share of all slots, at least one. */
export const computeCautiousLimit = (service: ServiceSpec, share: number): number => Math.max(1, Math.floor(service.targets.length * service.slotsPerTarget * share));
