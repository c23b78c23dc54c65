import type {DisposableLike} from './disposable-like.js';

/** A typed event: call it with a listener to subscribe, and dispose the result to unsubscribe. */
export type Event<T> = (listener: (value: T) => void) => DisposableLike;
