import type {LoadReport} from './load-report.js';
import type {ServiceSpec} from './service-spec.js';
import type {TargetSpec} from './target-spec.js';

/** Asks a target for its load report; undefined when it gives none in time. */
export type LoadQuery = (service: ServiceSpec, target: TargetSpec) => Promise<LoadReport | undefined>;
