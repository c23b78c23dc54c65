import {RunEnd} from './run-end.js';
import type {RunRecord} from './run-record.js';

type Mutable<T> = {-readonly [Key in keyof T]: T[Key]};
type Arrival = Pick<RunRecord, 'requestId' | 'idempotencyKey' | 'target' | 'method' | 'path' | 'arrivedAt'>;

const capacity = 200_000;

/** Remembers what arrived at a stand-in target and what became of it, oldest dropped first. */
export class RunLedger {
	private _records: Array<Mutable<RunRecord>> = [];

	/** Copies of the records in the order of arrival. */
	get records(): readonly RunRecord[] {
		return this._records.map(record => ({...record}));
	}

	/** Records an arrival; the returned handle changes the record. */
	addArrival(arrival: Arrival): Mutable<RunRecord> {
		const record: Mutable<RunRecord> = {
			...arrival, startedAt: undefined, endedAt: undefined, end: RunEnd.Pending, bodyBytes: 0, isBodyWhole: false,
		};
		this._records.push(record);
		if (this._records.length > capacity) {
			this._records = this._records.slice(capacity / 10);
		}

		return record;
	}

	/** Forgets all records. */
	clear(): void {
		this._records = [];
	}
}
