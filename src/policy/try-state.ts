import type {Outcome} from '../common/outcome.js';
import type {TryStage} from './try-stage.js';

/** State of one try of a request. */
export type TryState =
	| {readonly stage: Exclude<TryStage, TryStage.Settled>}
	| {readonly stage: TryStage.Settled; readonly outcome: Outcome};
