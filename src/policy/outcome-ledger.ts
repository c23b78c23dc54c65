import {Outcome} from '../common/outcome.js';
import {AttemptRecord} from './attempt-record.js';
import {AttemptStage} from './attempt-stage.js';

/** Records every attempt of one request; the only source of the outcome that is reported. */
export class OutcomeLedger {
	private readonly _attempts: AttemptRecord[] = [];

	/** Outcome of the request; "not run" only while every attempt proves it. */
	get outcome(): Outcome {
		if (this._attempts.some(record => record.outcome === Outcome.Ran)) {
			return Outcome.Ran;
		}

		return this._attempts.every(record => record.outcome === Outcome.NotRun) ? Outcome.NotRun : Outcome.Unknown;
	}

	/** Whether bytes of the request may have reached a target that did not prove that it refused the request. */
	get isDispatched(): boolean {
		return this.outcome !== Outcome.NotRun;
	}

	/**
	Whether a further attempt is safe.
	@param isIdempotent - Whether the request may run more than once.
	*/
	canBeginAttempt(isIdempotent: boolean): boolean {
		return isIdempotent || this._attempts.every(record => record.stage === AttemptStage.Settled && record.outcome === Outcome.NotRun);
	}

	/**
	Begins an attempt; returns undefined when another attempt could run the request twice.
	@param isIdempotent - Whether the request may run more than once.
	*/
	beginAttempt(isIdempotent: boolean): AttemptRecord | undefined {
		if (!this.canBeginAttempt(isIdempotent)) {
			return undefined;
		}

		const record = new AttemptRecord();
		this._attempts.push(record);
		return record;
	}
}
