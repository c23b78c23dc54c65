import {DecisionPolicy} from '../../../src/common/decision-policy.js';
import type {SiteOptions} from '../../site/site-options.js';
import {ArmName} from './arm-name.js';

const createBaseline = (policy: DecisionPolicy, entryCount: number): SiteOptions['settings'] => ({
	decisions: {policy}, routes: {entriesPerService: entryCount, maxEntriesPerService: entryCount},
});

/**
 * Creates the instance settings of an arm.
 *
 * @param entryCount - Number of instances of the site; the baselines route to all of them.
 */
export const createArmSettings = (arm: ArmName, entryCount: number): SiteOptions['settings'] => {
	switch (arm) {
		case ArmName.RoundRobin: {
			return createBaseline(DecisionPolicy.RoundRobin, entryCount);
		}

		case ArmName.LeastOutstanding: {
			return createBaseline(DecisionPolicy.LeastOutstanding, entryCount);
		}

		case ArmName.ProbePool: {
			return createBaseline(DecisionPolicy.ProbePool, entryCount);
		}

		case ArmName.Rattansill: {
			return {decisions: {policy: DecisionPolicy.Rattansill}};
		}

		case ArmName.Floor: {
			return {decisions: {policy: DecisionPolicy.Rattansill}, routes: {entriesPerService: 1, maxEntriesPerService: 1}};
		}
	}
};
