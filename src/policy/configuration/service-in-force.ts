import type {ServiceSpec} from '../../common/service-spec.js';

/** A rendered service with the revisions from which it was rendered. */
export type ServiceInForce = {
	readonly spec: ServiceSpec;
	readonly parametersRevision: number;
	readonly template: string;
	readonly templateRevision: number;
};
