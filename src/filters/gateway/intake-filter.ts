import {err} from 'neverthrow';
import type {IntakeController} from '../../controllers/gateway/intake-controller.js';
import type {GatewayContext} from './gateway-context.js';
import type {GatewayFilter} from './gateway-filter.js';
import type {GatewayNext} from './gateway-next.js';
import type {GatewayResult} from './gateway-result.js';

/** Delays or refuses a request while this instance has more requests than it can start. */
export class IntakeFilter implements GatewayFilter {
	constructor(private readonly _intake: Pick<IntakeController, 'enter'>) {}

	get name(): string {
		return 'intake';
	}

	async handleRequest(context: GatewayContext, next: GatewayNext): GatewayResult {
		const admission = await this._intake.enter(context.signal);
		return admission.isErr() ? err(admission.error) : next(context);
	}
}
