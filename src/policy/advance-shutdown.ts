import {ShutdownInput} from './shutdown-input.js';
import {ShutdownPhase} from './shutdown-phase.js';

const transitions: Readonly<Record<ShutdownPhase, Readonly<Partial<Record<ShutdownInput, ShutdownPhase>>>>> = {
	[ShutdownPhase.Running]: {
		[ShutdownInput.Signal]: ShutdownPhase.Announced,
	},
	[ShutdownPhase.Announced]: {
		[ShutdownInput.Signal]: ShutdownPhase.Finishing,
		[ShutdownInput.RoutesExpired]: ShutdownPhase.Finishing,
		[ShutdownInput.LimitReached]: ShutdownPhase.Aborting,
	},
	[ShutdownPhase.Finishing]: {
		[ShutdownInput.Signal]: ShutdownPhase.Aborting,
		[ShutdownInput.Idle]: ShutdownPhase.Ended,
		[ShutdownInput.LimitReached]: ShutdownPhase.Aborting,
	},
	[ShutdownPhase.Aborting]: {
		[ShutdownInput.Idle]: ShutdownPhase.Ended,
	},
	[ShutdownPhase.Ended]: {},
};

/** Returns the phase after an input; an input without a transition from the phase is ignored. */
export const advanceShutdown = (phase: ShutdownPhase, input: ShutdownInput): ShutdownPhase => transitions[phase][input] ?? phase;
