import type {ServiceSpec} from '../../common/service-spec.js';

/** A rendered service with the revisions of the parameters and the template that it was rendered from. */
export type ActiveService = {
	readonly spec: ServiceSpec;
	readonly parametersRevision: number;
	readonly template: string;
	readonly templateRevision: number;
};
