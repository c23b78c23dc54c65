import type {DisposableLike} from './disposable-like.js';

/** A typed event: call it with a listener; dispose the result to stop listening. */
export type Event<T> = (listener: (value: T) => void) => DisposableLike;
