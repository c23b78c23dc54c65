import type {RequestClass} from '../../../src/common/request-class.js';

/** One kind of request in a load. */
export type RequestKind = {
	readonly name: string;
	readonly method: 'GET' | 'POST';
	/** Path; a number is added to it. */
	readonly path: string;
	readonly requestClass: RequestClass;
	readonly isLong: boolean;
	/** Share of the load's requests; the shares of all kinds add up to 1. */
	readonly share: number;
	/** Median of the service time, in ms. */
	readonly medianMs: number;
	/** Deviation of the logarithm of the service time. */
	readonly sigma: number;
	/** Time after which a caller has no more use for the answer, in ms. */
	readonly deadlineMs: number;
};
