import {Emitter} from '../../../src/common/emitter.js';
import type {ViewPoint} from './view-point.js';

type Version = {readonly text: string; readonly modifyIndex: number; readonly publishedAt: number};

type View = {readonly key: string; readonly text: string; readonly modifyIndex: number};

/** Every version of every published value, so that a replica can answer from the past. */
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

	/** Publishes a value at a time in ms. */
	publish(key: string, text: string, now: number): void {
		this._index++;
		const versions = this._versions.get(key) ?? [];
		versions.push({text, modifyIndex: this._index, publishedAt: now});
		this._versions.set(key, versions);
		this._onPublished.fire();
	}

	/** Gets a value as it was at a time in ms, without publications after an index. */
	getValue(key: string, {at, index}: ViewPoint): View | undefined {
		const version = this._versions.get(key)?.findLast(item => item.publishedAt <= at && item.modifyIndex <= index);
		return version === undefined ? undefined : {key, text: version.text, modifyIndex: version.modifyIndex};
	}

	/** Lists the values below a prefix as they were at a time in ms, without publications after an index. */
	listValues(prefix: string, point: ViewPoint): readonly View[] {
		return [...this._versions.keys()].filter(key => key.startsWith(prefix)).flatMap(key => this.getValue(key, point) ?? []);
	}
}
