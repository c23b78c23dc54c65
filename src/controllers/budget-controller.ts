import {ShareBudget} from '../policy/schedule/share-budget.js';
import type {ServiceSpec} from '../common/service-spec.js';

type ServiceBudgets = {
	readonly retry: ShareBudget;
	readonly hedge: ShareBudget;
};

/** Holds each service's budgets of retries and hedges, as shares of its first tries. */
export class BudgetController {
	private readonly _budgets = new Map<string, ServiceBudgets>();

	/** Counts a first try of a service. */
	addFirstTry(service: ServiceSpec): void {
		const {retry, hedge} = this.getBudgets(service.name);
		retry.addFirstTry(service.retryRatio);
		hedge.addFirstTry(service.hedgeRatio);
	}

	getBudgets(service: string): ServiceBudgets {
		let budgets = this._budgets.get(service);
		if (budgets === undefined) {
			budgets = {retry: new ShareBudget(), hedge: new ShareBudget()};
			this._budgets.set(service, budgets);
		}

		return budgets;
	}

	/** Forgets a service that was removed. */
	removeService(service: string): void {
		this._budgets.delete(service);
	}
}
