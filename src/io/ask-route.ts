import {err, ok, type Result} from 'neverthrow';
import {request} from 'undici';
import type {RouteAnswer} from '../common/route-answer.js';
import {routeAnswerSchema} from '../common/route-answer-schema.js';

type RouteQuestion = {
	/** Base URL of an entry's route listener. */
	readonly entry: string;
	readonly service: string;
	/** Failure domain of the caller, if it has one. */
	readonly domain: string | undefined;
	/** Time for the whole answer, in ms. */
	readonly timeoutMs: number;
};

type RouteFailure = {
	/** True when the entry answered that it knows no such service. */
	readonly isUnknownService: boolean;
	readonly detail: string;
};

/** Asks one entry which addresses serve a service, as a caller would. */
export const askRoute = async (question: RouteQuestion): Promise<Result<RouteAnswer, RouteFailure>> => {
	const fail = (detail: string, isUnknownService = false) => err({isUnknownService, detail: `${question.entry}: ${detail}`});
	try {
		const url = new URL(`/routes/${encodeURIComponent(question.service)}`, question.entry);
		if (question.domain !== undefined) {
			url.searchParams.set('domain', question.domain);
		}

		const answer = await request(url, {signal: AbortSignal.timeout(question.timeoutMs)});
		if (answer.statusCode !== 200) {
			await answer.body.dump();
			return fail(`answered ${answer.statusCode}`, answer.statusCode === 404);
		}

		const checked = routeAnswerSchema.safeParse(await answer.body.json());
		return checked.success ? ok(checked.data) : fail('the answer is not a route answer');
	} catch (error) {
		return fail((error as Error).message);
	}
};
