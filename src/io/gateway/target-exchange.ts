import type {BufferedResponse} from '../../common/gateway/buffered-response.js';

/** Result of an HTTP exchange with a target: 'answer' when the complete response arrived, 'unsent' when no byte of the request was written, 'lost' when it was written and no complete response arrived. */
export type TargetExchange =
	| {readonly kind: 'answer'; readonly answer: BufferedResponse}
	| {readonly kind: 'unsent'; readonly detail: string}
	/** A connection was open, but nothing was written because `confirmSend` resolved with false. */
	| {readonly kind: 'unconfirmed'}
	| {readonly kind: 'lost'; readonly detail: string};
