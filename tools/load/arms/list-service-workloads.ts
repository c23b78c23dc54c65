import type {TargetSpec} from '../../../src/common/target-spec.js';
import type {Site} from '../../site/site.js';
import {computeMeanServiceMs} from '../callers/compute-mean-service-ms.js';
import {listRequestKinds} from '../callers/list-request-kinds.js';
import type {ServiceWorkload} from './service-workload.js';
import {workloadParameters} from './workload-parameters.js';

const {slowShare, slowFactor} = workloadParameters;

/** Mean speed of a target with its slow episodes, relative to its normal speed. */
const meanSpeedFactor = 1 - slowShare + (slowShare / slowFactor);

/**
 * Lists the workload and capacity of each service of a site.
 *
 * @param longShare - Share of long requests, 0 to 1.
 */
export const listServiceWorkloads = (site: Site, longShare: number): readonly ServiceWorkload[] => site.services.map(service => {
	const values = site.parameters.get(service)?.values ?? {};
	const slots = Number(values.slots) * (values.targets as unknown as readonly TargetSpec[]).length;
	const kinds = listRequestKinds(service, {...workloadParameters, longShare});
	return {
		service, slots, kinds, capacityPerSecond: slots * meanSpeedFactor * 1000 / computeMeanServiceMs(kinds),
	};
});
