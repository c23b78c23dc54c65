import {Outcome} from '../common/outcome.js';
import {TryInput} from './try-input.js';
import {TryStage} from './try-stage.js';
import type {TryState} from './try-state.js';

type Transitions = Readonly<Partial<Record<TryInput, TryState>>>;

const notRun: TryState = {stage: TryStage.Settled, outcome: Outcome.NotRun};
const ran: TryState = {stage: TryStage.Settled, outcome: Outcome.Ran};
const unknown: TryState = {stage: TryStage.Settled, outcome: Outcome.Unknown};

const transitions: Readonly<Record<Exclude<TryStage, TryStage.Settled>, Transitions>> = {
	[TryStage.Queued]: {
		[TryInput.Connect]: {stage: TryStage.Connecting},
		[TryInput.GiveUp]: notRun,
	},
	[TryStage.Connecting]: {
		[TryInput.Dispatch]: {stage: TryStage.Dispatched},
		[TryInput.GiveUp]: notRun,
	},
	[TryStage.Dispatched]: {
		[TryInput.Unwritten]: notRun,
		[TryInput.AnswerStarted]: {stage: TryStage.Answering},
		[TryInput.Lost]: unknown,
	},
	[TryStage.Answering]: {
		[TryInput.Refused]: notRun,
		[TryInput.AnswerWhole]: ran,
		[TryInput.Lost]: unknown,
	},
};

/** Applies an input; a settled try ignores what comes late, and an input that cannot happen throws. */
export const advanceTry = (state: TryState, input: TryInput): TryState => {
	if (state.stage === TryStage.Settled) {
		return state;
	}

	const next = transitions[state.stage][input];
	if (next === undefined) {
		throw new Error(`a try that is ${state.stage} cannot take ${input}`);
	}

	return next;
};
