import type {KeyReport} from './key-report.js';

/** Result of a claim to an idempotency key. */
export type KeyVerdict =
	| {readonly kind: 'granted'}
	/** The key was claimed before. */
	| {readonly kind: 'known'; readonly report: KeyReport}
	/** The key was used for another request. */
	| {readonly kind: 'conflict'}
	/** The request was sent before, and this instance cannot rule out that the key was granted without its knowledge. */
	| {readonly kind: 'unvouched'}
	/** The maximum number of keys is reached. */
	| {readonly kind: 'full'};
