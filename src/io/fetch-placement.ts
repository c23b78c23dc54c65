import {err, ok, type Result} from 'neverthrow';
import {request} from 'undici';
import {z} from 'zod';
import type {PlacementExplanation} from '../common/gateway/placement-explanation.js';
import type {PlacementQuestion} from '../common/gateway/placement-question.js';

type PlacementFailure = {
	/** Status of the instance's response; undefined when it gave none that can be used. */
	readonly status: number | undefined;
	readonly detail: string;
};

const timeoutMs = 2000;
/** What tells an explanation from other JSON; its values are printed only. */
const explanationSchema = z.looseObject({
	instance: z.looseObject({}),
	request: z.looseObject({}),
	configuration: z.looseObject({}),
	route: z.looseObject({}),
	services: z.array(z.looseObject({targets: z.array(z.looseObject({})), exclusions: z.looseObject({})})),
});

/**
Asks an instance where it would send a request.
@param address - Address of its metrics listener.
*/
export const fetchPlacement = async (address: string, {method, host, path, bodyBytes}: PlacementQuestion): Promise<Result<PlacementExplanation, PlacementFailure>> => {
	const fail = (detail: string, status?: number) => err({status, detail: `${address}: ${detail}`});
	try {
		const url = new URL('/place', `http://${address}`);
		url.search = new URLSearchParams({
			method, host, path, bodyBytes: String(bodyBytes),
		}).toString();
		const {statusCode, headers, body} = await request(url, {signal: AbortSignal.timeout(timeoutMs)});
		if (!String(headers['content-type']).startsWith('application/json')) {
			await body.dump();
			return fail(`answered with status ${statusCode} and no explanation; its version may have none`);
		}

		const value = await body.json();
		if (statusCode !== 200) {
			return fail(String((value as {readonly detail?: unknown}).detail), statusCode);
		}

		return explanationSchema.safeParse(value).success ? ok(value as PlacementExplanation) : fail('the response is not an explanation of a placement');
	} catch (error) {
		return fail(`no answer: ${(error as Error).message}`);
	}
};
