import {Outcome} from '../common/outcome.js';
import {AttemptInput} from './attempt-input.js';
import {AttemptStage} from './attempt-stage.js';
import type {AttemptState} from './attempt-state.js';

type Transitions = Readonly<Partial<Record<AttemptInput, AttemptState>>>;

const notRun: AttemptState = {stage: AttemptStage.Settled, outcome: Outcome.NotRun};
const ran: AttemptState = {stage: AttemptStage.Settled, outcome: Outcome.Ran};
const unknown: AttemptState = {stage: AttemptStage.Settled, outcome: Outcome.Unknown};

const transitions: Readonly<Record<Exclude<AttemptStage, AttemptStage.Settled>, Transitions>> = {
	[AttemptStage.Queued]: {
		[AttemptInput.Connect]: {stage: AttemptStage.Connecting},
		[AttemptInput.Abandon]: notRun,
	},
	[AttemptStage.Connecting]: {
		[AttemptInput.Dispatch]: {stage: AttemptStage.Dispatched},
		[AttemptInput.Abandon]: notRun,
	},
	[AttemptStage.Dispatched]: {
		[AttemptInput.Unwritten]: notRun,
		[AttemptInput.ResponseStarted]: {stage: AttemptStage.Responding},
		[AttemptInput.Lost]: unknown,
	},
	[AttemptStage.Responding]: {
		[AttemptInput.Refused]: notRun,
		[AttemptInput.ResponseComplete]: ran,
		[AttemptInput.Lost]: unknown,
	},
};

/**
Returns the state of an attempt after an input. A settled attempt ignores further inputs.
@throws Error when the input cannot occur in the state.
*/
export const advanceAttempt = (state: AttemptState, input: AttemptInput): AttemptState => {
	if (state.stage === AttemptStage.Settled) {
		return state;
	}

	const next = transitions[state.stage][input];
	if (next === undefined) {
		throw new Error(`an attempt in stage "${state.stage}" cannot take the input "${input}"`);
	}

	return next;
};
