import {RunEnd} from '../standins/target/run-end.js';
import type {RunRecord} from '../standins/target/run-record.js';
import type {CallRecord} from './call-record.js';

const countRuns = (records: readonly RunRecord[]): Map<string, number> => {
	const runs = new Map<string, number>();
	for (const record of records) {
		// A request that took a slot may have had an effect, however it ended.
		if (record.startedAt !== undefined && record.end !== RunEnd.Refused) {
			runs.set(record.requestId, (runs.get(record.requestId) ?? 0) + 1);
		}
	}

	return runs;
};

const describeViolation = (call: CallRecord, runs: number): string | undefined => {
	if (call.method === 'POST' && runs > 1) {
		return 'ran more than once';
	}

	if (call.outcome === 'not run' && runs > 0) {
		return 'was told "not run" and ran';
	}

	if (call.status === 200 && call.responseRequestId !== call.requestId) {
		return `got the answer of ${call.responseRequestId ?? 'no request'}`;
	}

	return undefined;
};

/**
Compares the requests that the targets ran with the outcomes that callers received.
@returns One line per violation: the request id and what is wrong.
*/
export const verifyOutcomes = (records: readonly RunRecord[], calls: readonly CallRecord[]): string[] => {
	const runs = countRuns(records);
	return calls.flatMap(call => {
		const violation = describeViolation(call, runs.get(call.requestId) ?? 0);
		return violation === undefined ? [] : [`${call.requestId} ${violation}`];
	});
};
