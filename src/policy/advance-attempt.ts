import {Outcome} from '../common/outcome.js';
import {TryInput} from './try-input.js';
import {AttemptStage} from './attempt-stage.js';
import type {AttemptState} from './attempt-state.js';

type Transitions = Readonly<Partial<Record<TryInput, AttemptState>>>;

const notRun: AttemptState = {stage: AttemptStage.Settled, outcome: Outcome.NotRun};
const ran: AttemptState = {stage: AttemptStage.Settled, outcome: Outcome.Ran};
const unknown: AttemptState = {stage: AttemptStage.Settled, outcome: Outcome.Unknown};

const transitions: Readonly<Record<Exclude<AttemptStage, AttemptStage.Settled>, Transitions>> = {
	[AttemptStage.Queued]: {
		[TryInput.Connect]: {stage: AttemptStage.Connecting},
		[TryInput.GiveUp]: notRun,
	},
	[AttemptStage.Connecting]: {
		[TryInput.Dispatch]: {stage: AttemptStage.Dispatched},
		[TryInput.GiveUp]: notRun,
	},
	[AttemptStage.Dispatched]: {
		[TryInput.Unwritten]: notRun,
		[TryInput.AnswerStarted]: {stage: AttemptStage.Responding},
		[TryInput.Lost]: unknown,
	},
	[AttemptStage.Responding]: {
		[TryInput.Refused]: notRun,
		[TryInput.AnswerWhole]: ran,
		[TryInput.Lost]: unknown,
	},
};

/**
Returns the state of an attempt after an input. A settled attempt ignores further inputs.
@throws Error when the input cannot occur in the state.
*/
export const advanceAttempt = (state: AttemptState, input: TryInput): AttemptState => {
	if (state.stage === AttemptStage.Settled) {
		return state;
	}

	const next = transitions[state.stage][input];
	if (next === undefined) {
		throw new Error(`an attempt in stage "${state.stage}" cannot take the input "${input}"`);
	}

	return next;
};
