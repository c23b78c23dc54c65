import type {Outcome} from '../common/outcome.js';
import type {AttemptStage} from './attempt-stage.js';

/** State of one attempt of a request. */
export type AttemptState =
	| {readonly stage: Exclude<AttemptStage, AttemptStage.Settled>}
	| {readonly stage: AttemptStage.Settled; readonly outcome: Outcome};
