import type {StandInTargetOptions} from './stand-in-target-options.js';
import type {TargetBehavior} from './target-behavior.js';
import type {TargetCommandKind} from './target-command-kind.js';

/** A command to a worker process of stand-in targets, sent over its IPC channel. */
export type TargetCommand =
	| {readonly kind: TargetCommandKind.Start; readonly targets: ReadonlyArray<Omit<StandInTargetOptions, 'serviceTimeMs'>>}
	/** An empty list of targets selects all. */
	| {readonly kind: TargetCommandKind.SetBehavior; readonly targets: readonly string[]; readonly change: Partial<TargetBehavior>}
	| {readonly kind: TargetCommandKind.ReadStats}
	| {readonly kind: TargetCommandKind.ReadRecords}
	| {readonly kind: TargetCommandKind.ClearLedgers}
	| {readonly kind: TargetCommandKind.Stop};
