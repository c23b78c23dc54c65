import {RequestClass} from '../../../src/common/request-class.js';
import type {RequestKind} from './request-kind.js';

type KindOptions = {
	/** Median service time of short requests, in ms. */
	readonly medianMs: number;
	/** Standard deviation of the logarithm of the service time. */
	readonly sigma: number;
	/** Share of long requests, 0 to 1. */
	readonly longShare: number;
	/** Ratio of the median service time of long requests to that of short ones. */
	readonly longFactor: number;
};

const orderServices = new Set(['chairbook', 'encargos']);
const catalogueServices = new Set(['lacefront', 'catalogo']);
const orderShare = 0.3;
const lookupDeadlineMs = 2000;
const orderDeadlineMs = 5000;
const deferrableDeadlineMs = 30_000;

/** Lists the kinds of requests that callers send to a service of the example configurations; their shares add up to 1. */
export const listRequestKinds = (service: string, {medianMs, sigma, longShare, longFactor}: KindOptions): readonly RequestKind[] => {
	const shortShare = 1 - longShare;
	const short = {
		method: 'GET' as const, isLong: false, medianMs, sigma,
	};
	if (orderServices.has(service)) {
		return [
			{
				...short, name: 'read', path: '/diary/', requestClass: RequestClass.Interactive, share: shortShare * (1 - orderShare), deadlineMs: lookupDeadlineMs,
			},
			{
				...short, name: 'order', method: 'POST', path: '/orders/', requestClass: RequestClass.Booking, share: shortShare * orderShare, deadlineMs: orderDeadlineMs,
			},
			{
				...short,
				name: 'statement',
				path: '/statements/',
				requestClass: RequestClass.Interactive,
				isLong: true,
				share: longShare,
				medianMs: medianMs * longFactor,
				deadlineMs: lookupDeadlineMs,
			},
		];
	}

	const isCatalogue = catalogueServices.has(service);
	return [
		{
			...short,
			name: 'lookup',
			path: '/items/',
			requestClass: isCatalogue ? RequestClass.Interactive : RequestClass.Deferrable,
			share: shortShare,
			deadlineMs: isCatalogue ? lookupDeadlineMs : deferrableDeadlineMs,
		},
		{
			...short, name: 'scan', path: '/scan/', requestClass: RequestClass.Deferrable, isLong: true, share: longShare, medianMs: medianMs * longFactor, deadlineMs: deferrableDeadlineMs,
		},
	];
};
