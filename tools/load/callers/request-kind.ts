import type {RequestClass} from '../../../src/common/request-class.js';

/** A kind of request in a load. */
export type RequestKind = {
	readonly name: string;
	readonly method: 'GET' | 'POST';
	/** Path prefix; the index of the caller is appended. */
	readonly path: string;
	readonly requestClass: RequestClass;
	readonly isLong: boolean;
	/** Share of the load's requests; the shares of all kinds add up to 1. */
	readonly share: number;
	/** Median service time, in ms. */
	readonly medianMs: number;
	/** Standard deviation of the logarithm of the service time. */
	readonly sigma: number;
	/** Time after which the caller has no more use for the response, in ms. */
	readonly deadlineMs: number;
};
