import {Outcome} from '../common/outcome.js';
import {advanceAttempt} from './advance-attempt.js';
import type {AttemptInput} from './attempt-input.js';
import {AttemptStage} from './attempt-stage.js';
import type {AttemptState} from './attempt-state.js';

/** Tracks the stage and outcome of one attempt of a request. */
export class AttemptRecord {
	private _state: AttemptState = {stage: AttemptStage.Queued};

	get stage(): AttemptStage {
		return this._state.stage;
	}

	/** Outcome to report if no further input arrives. */
	get outcome(): Outcome {
		if (this._state.stage === AttemptStage.Settled) {
			return this._state.outcome;
		}

		const isWritten = this._state.stage === AttemptStage.Dispatched || this._state.stage === AttemptStage.Responding;
		return isWritten ? Outcome.Unknown : Outcome.NotRun;
	}

	/** Applies an input to the state of the attempt. */
	apply(input: AttemptInput): void {
		this._state = advanceAttempt(this._state, input);
	}
}
