import {Buffer} from 'node:buffer';
import {err, ok, type Result} from 'neverthrow';
import {RegistryFailure} from '../../src/common/gateway/registry-failure.js';
import type {RegistryClient} from '../../platform/registry-client.js';
import type {RegistryItem} from '../../platform/registry-item.js';

type Client = Pick<RegistryClient, 'readItem' | 'readPage' | 'watch'>;
type Call = {readonly instance: string; readonly kind: 'read' | 'range' | 'watch'; readonly key: string};

const sleep = async (ms: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, ms);
});

/** A registry under fake timers, with the revisions, eras and waits of the platform's store. */
export class InMemoryRegistry {
	/** Calls in order. */
	readonly calls: Call[] = [];
	private _items = new Map<string, RegistryItem>();
	private _tombstones: RegistryItem[] = [];
	private _revision = 100;
	private readonly _wakes = new Set<() => void>();

	/**
	@param _era - Number of restorations; 0 for an older store, which tells none and lets watches from unknown revisions wait.
	@param _delayMs - Time that each request and each response takes, in ms.
	*/
	constructor(private _era: number, private readonly _delayMs: () => number) {}

	setItem(key: string, value: unknown): void {
		this._revision++;
		this._items.set(key, {key, value: Buffer.from(JSON.stringify(value)).toString('base64'), revision: this._revision});
		this._wakeWatches();
	}

	removeItem(key: string): void {
		this._revision++;
		this._items.delete(key);
		this._tombstones.push({key, revision: this._revision});
		this._wakeWatches();
	}

	/** Creates a copy of the items, from which the returned function restores the registry: revisions go back and are used again. */
	copyItems(): () => void {
		const items = new Map(this._items);
		const revision = this._revision;
		return () => {
			this._items = new Map(items);
			this._tombstones = this._tombstones.filter(tombstone => tombstone.revision <= revision);
			this._revision = revision;
			this._era += this._era > 0 ? 1 : 0;
		};
	}

	/** Lists the range reads since a call. */
	listRangeReads(firstCall: number): Call[] {
		return this.calls.slice(firstCall).filter(({kind}) => kind === 'range');
	}

	/** Creates the client of an instance. */
	createClient(instance: string): Client {
		return {
			readItem: async key => this._call({instance, kind: 'read', key}, () => {
				const item = this._items.get(key);
				return ok(item && {...item, storeRevision: this._revision, era: this._era});
			}),
			readPage: async key => this._call({instance, kind: 'range', key}, () => {
				const items = this._listChanges(key, 0).filter(({value}) => value !== undefined);
				const exists = items.length > 0;
				return ok({
					exists, items, hasMore: false, storeRevision: exists ? this._revision : 0, era: this._era,
				});
			}),
			watch: async (key, after, waitMs) => this._call({instance, kind: 'watch', key}, async () => {
				await this._waitForChange(key, after, Date.now() + waitMs);
				return this._isUnknown(after)
					? err({failure: RegistryFailure.HistoryLost, detail: 'status 410'})
					: ok({era: this._era, revision: this._revision, events: this._listChanges(key, after)});
			}),
		};
	}

	private async _call<Value, Failure>(call: Call, respond: () => Result<Value, Failure> | Promise<Result<Value, Failure>>): Promise<Result<Value, Failure>> {
		await sleep(this._delayMs());
		this.calls.push(call);
		const result = await respond();
		await sleep(this._delayMs());
		return result;
	}

	private _isUnknown(revision: number): boolean {
		return this._era > 0 && revision > this._revision;
	}

	private _listChanges(keyPrefix: string, after: number): RegistryItem[] {
		return [...this._items.values(), ...this._tombstones].filter(({key, revision}) => key.startsWith(keyPrefix) && revision > after).sort((a, b) => a.revision - b.revision);
	}

	private async _waitForChange(keyPrefix: string, after: number, endAt: number): Promise<void> {
		while (!this._isUnknown(after) && this._listChanges(keyPrefix, after).length === 0 && Date.now() < endAt) {
			await new Promise<void>(resolve => {
				const wake = () => {
					clearTimeout(timer);
					this._wakes.delete(wake);
					resolve();
				};

				const timer = setTimeout(wake, endAt - Date.now());
				this._wakes.add(wake);
			});
		}
	}

	private _wakeWatches(): void {
		for (const wake of this._wakes) {
			wake();
		}
	}
}
