import type {Clock} from '../common/clock.js';
import {DecisionPolicy} from '../common/decision-policy.js';
import type {DisposableStore} from '../common/disposable-store.js';
import type {EntrySettings} from '../common/entry-settings.js';
import type {LoadQuery} from '../common/load-query.js';
import type {Logger} from '../common/logger.js';
import type {MemberDirectory} from '../common/member-directory.js';
import type {Metrics} from '../common/metrics.js';
import type {RandomSource} from '../common/random-source.js';
import type {RouteResolver} from '../common/route-resolver.js';
import type {ServiceCatalog} from '../common/service-catalog.js';
import type {SlotScheduler} from '../common/slot-scheduler.js';
import type {LoadHandlers} from '../io/peer/load-handlers.js';
import {BaselineScheduler} from './baseline-scheduler.js';
import {BudgetController} from './budget-controller.js';
import {LoadController} from './load-controller.js';
import type {PeerController} from './peer-controller.js';
import {ScheduleController} from './schedule-controller.js';

type DecisionsOptions = {
	readonly decisions: EntrySettings['decisions'];
	readonly catalog: ServiceCatalog;
	readonly routes: RouteResolver;
	readonly members: MemberDirectory;
	readonly peers: PeerController;
	readonly queryLoad: LoadQuery;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: Metrics;
	readonly random: RandomSource;
	/** Store to which the created objects are added, for their disposal. */
	readonly store: DisposableStore;
};

type Decisions = {
	readonly scheduler: SlotScheduler;
	readonly budgets: BudgetController;
	readonly load: LoadHandlers;
};

const emptyLoadHandlers: LoadHandlers = {
	async * watchLoad() {
		// Baseline policies exchange no load with peers.
	},
};

/** Creates the scheduler of the configured policy, the retry and hedge budgets, and the handlers that send load to peers. */
export const createDecisions = (options: DecisionsOptions): Decisions => {
	const {decisions, store, clock, members} = options;
	const {policy} = decisions;
	const budgets = new BudgetController();
	store.add(options.catalog.onServiceRemoved(name => {
		budgets.removeService(name);
	}));
	switch (policy) {
		case DecisionPolicy.RoundRobin:
		case DecisionPolicy.LeastOutstanding:
		case DecisionPolicy.ProbePool: {
			return {scheduler: store.add(new BaselineScheduler({...options, policy})), budgets, load: emptyLoadHandlers};
		}

		case DecisionPolicy.Rattansill: {
			const schedule = store.add(new ScheduleController({clock, self: members.self.instance, decisions}));
			return {scheduler: schedule, budgets, load: store.add(new LoadController({...options, schedule}))};
		}
	}
};
