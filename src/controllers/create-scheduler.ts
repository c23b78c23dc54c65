import type {Clock} from '../common/clock.js';
import {DecisionPolicy} from '../common/decision-policy.js';
import type {DisposableLike} from '../common/disposable-like.js';
import type {EntrySettings} from '../common/entry-settings.js';
import type {Instance} from '../common/instance.js';
import type {LoadQuery} from '../common/load-query.js';
import type {RandomSource} from '../common/random-source.js';
import type {SlotScheduler} from '../common/slot-scheduler.js';
import {BaselineScheduler} from './baseline-scheduler.js';
import {ScheduleController} from './schedule-controller.js';

type SchedulerOptions = {
	readonly decisions: EntrySettings['decisions'];
	readonly clock: Clock;
	readonly self: Pick<Instance, 'id' | 'failureDomain'>;
	readonly random: RandomSource;
	readonly queryLoad: LoadQuery;
};

/** Creates the scheduler of the policy that the settings name. */
export const createScheduler = ({decisions, clock, self, random, queryLoad}: SchedulerOptions): SlotScheduler & DisposableLike => {
	const {policy} = decisions;
	switch (policy) {
		case DecisionPolicy.RoundRobin:
		case DecisionPolicy.LeastOutstanding:
		case DecisionPolicy.ProbePool: {
			return new BaselineScheduler({
				policy, clock, random, queryLoad,
			});
		}

		case DecisionPolicy.Rattansill: {
			return new ScheduleController({clock, self, decisions});
		}
	}
};
