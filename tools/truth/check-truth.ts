import {RunEnd} from '../standins/target/run-end.js';
import type {RunRecord} from '../standins/target/run-record.js';
import type {Told} from './told.js';

const findRuns = (records: readonly RunRecord[]): Map<string, number> => {
	const runs = new Map<string, number>();
	for (const record of records) {
		// A request that took a slot may have changed something, whatever became of it.
		if (record.startedAt !== undefined && record.end !== RunEnd.Refused) {
			runs.set(record.requestId, (runs.get(record.requestId) ?? 0) + 1);
		}
	}

	return runs;
};

const explainFault = (item: Told, runs: number): string | undefined => {
	if (item.method === 'POST' && runs > 1) {
		return 'ran more than once';
	}

	if (item.outcome === 'not run' && runs > 0) {
		return 'was told "not run" and ran';
	}

	if (item.status === 200 && item.answeredId !== item.requestId) {
		return `got the answer of ${item.answeredId ?? 'no request'}`;
	}

	return undefined;
};

/** Compares what the targets ran with what the callers were told; each line names a request and a fault. */
export const checkTruth = (records: readonly RunRecord[], told: readonly Told[]): string[] => {
	const runs = findRuns(records);
	return told.flatMap(item => {
		const fault = explainFault(item, runs.get(item.requestId) ?? 0);
		return fault === undefined ? [] : [`${item.requestId} ${fault}`];
	});
};
