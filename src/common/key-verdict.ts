import type {KeyReport} from './key-report.js';

/** The answer to a claim. */
export type KeyVerdict =
	| {readonly kind: 'granted'}
	/** The key was seen before. */
	| {readonly kind: 'known'; readonly report: KeyReport}
	/** The key was used for another request. */
	| {readonly kind: 'conflict'}
	/** A resend whose first try may have been missed. */
	| {readonly kind: 'unvouched'}
	/** No more keys can be remembered. */
	| {readonly kind: 'full'};
