import type {ExchangeEnd} from './exchange-end.js';
import type {LoadReport} from './load-report.js';
import type {TargetSpec} from './target-spec.js';

/** The right to send one request to one target; it must be released exactly once. */
export type SlotLease = {
	readonly target: TargetSpec;
	/**
	Gives the slot back.
	@param end - How the exchange ended.
	@param report - The load report that rode on the answer, if any.
	*/
	release(end: ExchangeEnd, report?: LoadReport): void;
};
