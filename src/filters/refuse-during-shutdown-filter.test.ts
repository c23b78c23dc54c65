import {ok} from 'neverthrow';
import {describe, expect, it} from 'vitest';
import {ErrorKind} from '../common/error-kind.js';
import {Outcome} from '../common/outcome.js';
import {RefuseDuringShutdownFilter} from './refuse-during-shutdown-filter.js';

type Context = {readonly deadlineAt: number; readonly isIdempotent: boolean};

describe('RefuseDuringShutdownFilter', () => {
	it.each([
		{
			case: 'in service', takesRequests: true, cutsAt: Number.POSITIVE_INFINITY, isIdempotent: false, isTaken: true,
		},
		{
			case: 'that ends in time', takesRequests: true, cutsAt: 100, isIdempotent: false, isTaken: true,
		},
		{
			case: 'that could be aborted', takesRequests: true, cutsAt: 99, isIdempotent: false, isTaken: false,
		},
		{
			case: 'that could be aborted but is idempotent', takesRequests: true, cutsAt: 99, isIdempotent: true, isTaken: true,
		},
		{
			case: 'that arrives too late', takesRequests: false, cutsAt: 1000, isIdempotent: true, isTaken: false,
		},
	])('accepts only requests that it can finish: a request $case', async ({takesRequests, cutsAt, isIdempotent, isTaken}) => {
		const filter = new RefuseDuringShutdownFilter<Context, string>({shutdown: {isAcceptingRequests: takesRequests, abortAt: cutsAt}, isIdempotent: context => context.isIdempotent});
		const result = await filter.handleRequest({deadlineAt: 100, isIdempotent}, async () => ok('passed on'));
		expect(result.isOk()).toBe(isTaken);
		if (result.isErr()) {
			expect(result.error).toMatchObject({kind: ErrorKind.ShuttingDown, outcome: Outcome.NotRun});
		}
	});
});
