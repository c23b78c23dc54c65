import {err, ok, type Result} from 'neverthrow';
import {request} from 'undici';
import type {RouteResponse} from '../common/route-response.js';
import {routeResponseSchema} from '../common/route-response-schema.js';

type RouteQuery = {
	/** Base URL of an instance's route listener. */
	readonly entry: string;
	readonly service: string;
	/** Failure domain of the caller; undefined when unknown. */
	readonly domain: string | undefined;
	/** Timeout of the whole call, in ms. */
	readonly timeoutMs: number;
};

type RouteFailure = {
	/** True when the instance responded that it does not know the service. */
	readonly isUnknownService: boolean;
	readonly detail: string;
};

/** Fetches the addresses that serve a service from one instance, as a caller would. */
export const fetchRoute = async (query: RouteQuery): Promise<Result<RouteResponse, RouteFailure>> => {
	const fail = (detail: string, isUnknownService = false) => err({isUnknownService, detail: `${query.entry}: ${detail}`});
	try {
		const url = new URL(`/routes/${encodeURIComponent(query.service)}`, query.entry);
		if (query.domain !== undefined) {
			url.searchParams.set('domain', query.domain);
		}

		const response = await request(url, {signal: AbortSignal.timeout(query.timeoutMs)});
		if (response.statusCode !== 200) {
			await response.body.dump();
			return fail(`responded with status ${response.statusCode}`, response.statusCode === 404);
		}

		const parsed = routeResponseSchema.safeParse(await response.body.json());
		return parsed.success ? ok(parsed.data) : fail('the response is not a valid route response');
	} catch (error) {
		return fail((error as Error).message);
	}
};
