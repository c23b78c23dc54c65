import {ExtraAttemptBudget} from '../policy/schedule/extra-attempt-budget.js';
import type {ServiceSpec} from '../common/service-spec.js';

type ServiceBudgets = {
	readonly retry: ExtraAttemptBudget;
	readonly hedge: ExtraAttemptBudget;
};

/** Holds the retry and hedge budgets of each service, which grow in proportion to its first attempts. */
export class BudgetController {
	private readonly _budgets = new Map<string, ServiceBudgets>();

	/** Records a first attempt, which adds to both budgets of the service. */
	recordFirstAttempt(service: ServiceSpec): void {
		const {retry, hedge} = this.getBudgets(service.name);
		retry.recordFirstAttempt(service.retryRatio);
		hedge.recordFirstAttempt(service.hedgeRatio);
	}

	getBudgets(service: string): ServiceBudgets {
		let budgets = this._budgets.get(service);
		if (budgets === undefined) {
			budgets = {retry: new ExtraAttemptBudget(), hedge: new ExtraAttemptBudget()};
			this._budgets.set(service, budgets);
		}

		return budgets;
	}

	/** Drops the budgets of a service that was removed. */
	removeService(service: string): void {
		this._budgets.delete(service);
	}
}
