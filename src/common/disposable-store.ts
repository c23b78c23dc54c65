import type {DisposableLike} from './disposable-like.js';

/** Owns disposables and disposes them together, in reverse order of registration. */
export class DisposableStore implements DisposableLike {
	private readonly _items: DisposableLike[] = [];
	private _isDisposed = false;

	/** Takes ownership of an item and returns it; an item added after disposal is disposed immediately. */
	add<T extends DisposableLike>(item: T): T {
		if (this._isDisposed) {
			item.dispose();
		} else {
			this._items.push(item);
		}

		return item;
	}

	dispose(): void {
		this._isDisposed = true;
		for (let item = this._items.pop(); item !== undefined; item = this._items.pop()) {
			item.dispose();
		}
	}
}
