import {Emitter} from '../../../src/common/emitter.js';
import type {SnapshotPoint} from './snapshot-point.js';

type Version = {readonly text: string; readonly modifyIndex: number; readonly publishedAt: number};

type StoredValue = {readonly key: string; readonly text: string; readonly modifyIndex: number};

/** Keeps every version of every published value, so that a replica can serve a past state. */
export class PlatformStore {
	private readonly _versions = new Map<string, Version[]>();
	private readonly _onPublished = new Emitter<void>();
	private _index = 1;

	/** Fires after each publication. */
	get onPublished() {
		return this._onPublished.event;
	}

	/** Index of the last publication. */
	get index(): number {
		return this._index;
	}

	/** Publishes a value at a time in ms and increments the index. */
	publish(key: string, text: string, now: number): void {
		this._index++;
		const versions = this._versions.get(key) ?? [];
		versions.push({text, modifyIndex: this._index, publishedAt: now});
		this._versions.set(key, versions);
		this._onPublished.fire();
	}

	/** Gets the latest version of a value at a snapshot point; undefined when none was published by then. */
	getValue(key: string, {at, index}: SnapshotPoint): StoredValue | undefined {
		const version = this._versions.get(key)?.findLast(item => item.publishedAt <= at && item.modifyIndex <= index);
		return version === undefined ? undefined : {key, text: version.text, modifyIndex: version.modifyIndex};
	}

	/** Lists the values whose keys begin with a prefix, at a snapshot point. */
	listValues(prefix: string, snapshotPoint: SnapshotPoint): readonly StoredValue[] {
		return [...this._versions.keys()].filter(key => key.startsWith(prefix)).flatMap(key => this.getValue(key, snapshotPoint) ?? []);
	}
}
