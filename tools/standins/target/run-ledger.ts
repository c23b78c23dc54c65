import {RunEnd} from './run-end.js';
import type {RunRecord} from './run-record.js';

type Mutable<T> = {-readonly [Key in keyof T]: T[Key]};
type Arrival = Pick<RunRecord, 'requestId' | 'idempotencyKey' | 'target' | 'method' | 'path' | 'arrivedAt'>;

const maxRecords = 200_000;

/** Records the requests that arrived at a stand-in target and how each ended; evicts the oldest ones when full. */
export class RunLedger {
	private _records: Array<Mutable<RunRecord>> = [];

	/** Copies of the records, in the order of arrival. */
	get records(): readonly RunRecord[] {
		return this._records.map(record => ({...record}));
	}

	/** Adds a pending record and returns it, for the caller to update. */
	addArrival(arrival: Arrival): Mutable<RunRecord> {
		const record: Mutable<RunRecord> = {
			...arrival, startedAt: undefined, endedAt: undefined, end: RunEnd.Pending, bodyBytes: 0, isBodyWhole: false,
		};
		this._records.push(record);
		if (this._records.length > maxRecords) {
			this._records = this._records.slice(maxRecords / 10);
		}

		return record;
	}

	/** Removes all records. */
	clear(): void {
		this._records = [];
	}
}
