import type {DisposableLike} from './disposable-like.js';
import type {Event} from './event.js';

/** Emits a typed event to its listeners in the order of their subscription. */
export class Emitter<T> implements DisposableLike {
	private readonly _listeners = new Set<(value: T) => void>();

	/** Subscribes a listener; disposing the returned value unsubscribes it. */
	readonly event: Event<T> = listener => {
		const subscription = (value: T) => {
			listener(value);
		};

		this._listeners.add(subscription);
		return {
			dispose: () => {
				this._listeners.delete(subscription);
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
