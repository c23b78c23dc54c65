import type {LoadReport} from './load-report.js';
import type {ServiceSpec} from './service-spec.js';
import type {TargetSpec} from './target-spec.js';

/** Requests the load report of a target; resolves to undefined when none arrives in time. */
export type LoadQuery = (service: ServiceSpec, target: TargetSpec) => Promise<LoadReport | undefined>;
