import type {ExchangeEnd} from './exchange-end.js';
import type {LoadReport} from './load-report.js';
import type {TargetSpec} from './target-spec.js';

/** Permission to send one request to one target; it must be released exactly once. */
export type SlotLease = {
	readonly target: TargetSpec;
	/**
	Releases the slot.
	@param end - How the exchange ended.
	@param report - Load report of the response, if any.
	*/
	release(end: ExchangeEnd, report?: LoadReport): void;
};
