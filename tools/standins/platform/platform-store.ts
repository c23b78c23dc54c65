import {Emitter} from '../../../src/common/emitter.js';

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

	/** Publishes a value at a time in ms. */
	publish(key: string, text: string, now: number): void {
		this._index++;
		const versions = this._versions.get(key) ?? [];
		versions.push({text, modifyIndex: this._index, publishedAt: now});
		this._versions.set(key, versions);
		this._onPublished.fire();
	}

	/** Gets a value as it was at a time in ms. */
	getValue(key: string, at: number): View | undefined {
		const version = this._versions.get(key)?.findLast(item => item.publishedAt <= at);
		return version === undefined ? undefined : {key, text: version.text, modifyIndex: version.modifyIndex};
	}

	/** Lists the values below a prefix as they were at a time in ms. */
	listValues(prefix: string, at: number): readonly View[] {
		return [...this._versions.keys()].filter(key => key.startsWith(prefix)).flatMap(key => this.getValue(key, at) ?? []);
	}
}
