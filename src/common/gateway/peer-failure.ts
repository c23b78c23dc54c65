import type {PeerFailureKind} from './peer-failure-kind.js';

/** Failure of a call for a peer's configuration. */
export type PeerFailure =
	| {readonly kind: PeerFailureKind.Unreachable; readonly detail: string}
	| {
		readonly kind: PeerFailureKind.Refused;
		/** Path of the invalid field. */
		readonly field: string;
		/** What is wrong with the field. */
		readonly detail: string;
	};
