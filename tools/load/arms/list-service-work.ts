import type {TargetSpec} from '../../../src/common/target-spec.js';
import type {Site} from '../../site/site.js';
import {computeMeanService} from '../callers/compute-mean-service.js';
import {listRequestKinds} from '../callers/list-request-kinds.js';
import type {ServiceWork} from './service-work.js';
import {workShape} from './work-shape.js';

const {slowShare, slowFactor} = workShape;

/** Share of a target's speed that is left by its slow times. */
const meanSpeed = 1 - slowShare + (slowShare / slowFactor);

/** Lists what each service of a site carries with a share of long requests. */
export const listServiceWork = (site: Site, longShare: number): readonly ServiceWork[] => site.services.map(service => {
	const values = site.parameters.get(service)?.values ?? {};
	const slots = Number(values.slots) * (values.targets as unknown as readonly TargetSpec[]).length;
	const kinds = listRequestKinds(service, {...workShape, longShare});
	return {
		service, slots, kinds, carriedPerSecond: slots * meanSpeed * 1000 / computeMeanService(kinds),
	};
});
