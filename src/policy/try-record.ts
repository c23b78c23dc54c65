import {Outcome} from '../common/outcome.js';
import {advanceTry} from './advance-try.js';
import type {TryInput} from './try-input.js';
import {TryStage} from './try-stage.js';
import type {TryState} from './try-state.js';

/** The course of one try of a request. */
export class TryRecord {
	private _state: TryState = {stage: TryStage.Queued};

	get stage(): TryStage {
		return this._state.stage;
	}

	/** What would have to be said if nothing more were heard of the try. */
	get outcome(): Outcome {
		if (this._state.stage === TryStage.Settled) {
			return this._state.outcome;
		}

		const isWritten = this._state.stage === TryStage.Dispatched || this._state.stage === TryStage.Answering;
		return isWritten ? Outcome.Unknown : Outcome.NotRun;
	}

	/** Applies what happened to the try. */
	apply(input: TryInput): void {
		this._state = advanceTry(this._state, input);
	}
}
