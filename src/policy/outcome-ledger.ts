import {Outcome} from '../common/outcome.js';
import {TryRecord} from './try-record.js';
import {TryStage} from './try-stage.js';

/** Records every try of one request; the only place from which an outcome is stated. */
export class OutcomeLedger {
	private readonly _tries: TryRecord[] = [];

	/** What is known of the request: "not run" only while every try proves it. */
	get outcome(): Outcome {
		if (this._tries.some(record => record.outcome === Outcome.Ran)) {
			return Outcome.Ran;
		}

		return this._tries.every(record => record.outcome === Outcome.NotRun) ? Outcome.NotRun : Outcome.Unknown;
	}

	/** True once a byte of the request may have reached a target that did not prove a refusal. */
	get isDispatched(): boolean {
		return this.outcome !== Outcome.NotRun;
	}

	/**
	Whether a further try is safe.
	@param isIdempotent - Whether the request may run more than once.
	*/
	canTry(isIdempotent: boolean): boolean {
		return isIdempotent || this._tries.every(record => record.stage === TryStage.Settled && record.outcome === Outcome.NotRun);
	}

	/**
	Begins a try; undefined when a second dispatch could run the request twice.
	@param isIdempotent - Whether the request may run more than once.
	*/
	beginTry(isIdempotent: boolean): TryRecord | undefined {
		if (!this.canTry(isIdempotent)) {
			return undefined;
		}

		const record = new TryRecord();
		this._tries.push(record);
		return record;
	}
}
