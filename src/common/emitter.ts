import type {DisposableLike} from './disposable-like.js';
import type {Event} from './event.js';

/** Fires a typed event to its listeners in the order in which they subscribed. */
export class Emitter<T> implements DisposableLike {
	private readonly _listeners = new Set<(value: T) => void>();

	/** The event to hand out; subscribing returns a disposable that unsubscribes. */
	readonly event: Event<T> = listener => {
		const entry = (value: T) => {
			listener(value);
		};

		this._listeners.add(entry);
		return {
			dispose: () => {
				this._listeners.delete(entry);
			},
		};
	};

	/** Calls every current listener with the value. */
	fire(value: T): void {
		for (const listener of this._listeners) {
			listener(value);
		}
	}

	dispose(): void {
		this._listeners.clear();
	}
}
