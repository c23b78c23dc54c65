import {computeHash} from '../compute-hash.js';
import type {ConfigurationEntry} from './configuration-entry.js';
import {OfferResult} from './offer-result.js';

const digestModulus = 2 ** 32;

/**
Holds the newest revision of each key, and older ones for as long as something in force depends on them. A revision
never replaces a newer one, wherever it comes from.
*/
export class RevisionStore {
	private readonly _entries = new Map<string, ConfigurationEntry[]>();

	/** Keys that are known, deleted ones included. */
	get keys(): readonly string[] {
		return [...this._entries.keys()];
	}

	/** Takes a revision if it is newer than the newest of its key. */
	offer(entry: ConfigurationEntry): OfferResult {
		const known = this._entries.get(entry.key) ?? [];
		const newest = known[0];
		if (newest === undefined || entry.revision > newest.revision) {
			this._entries.set(entry.key, [entry, ...known]);
			return OfferResult.Newer;
		}

		if (entry.revision === newest.revision) {
			return entry.digest === newest.digest ? OfferResult.Known : OfferResult.Conflict;
		}

		return known.some(({revision}) => revision === entry.revision) ? OfferResult.Known : OfferResult.Older;
	}

	/** Adds an older revision beside the newest, for a service that cannot be rendered from the newest. */
	addOlder(entry: ConfigurationEntry): void {
		const known = this._entries.get(entry.key) ?? [];
		if (known.every(({revision}) => revision !== entry.revision)) {
			this._entries.set(entry.key, [...known, entry].sort((a, b) => b.revision - a.revision));
		}
	}

	getNewest(key: string): ConfigurationEntry | undefined {
		return this._entries.get(key)?.[0];
	}

	/** The revisions held of a key, newest first. */
	listRevisions(key: string): readonly ConfigurationEntry[] {
		return this._entries.get(key) ?? [];
	}

	/** Every revision held. */
	listEntries(): ConfigurationEntry[] {
		return [...this._entries.values()].flat();
	}

	/** Drops older revisions of a key on which nothing depends. */
	discardUnused(isUsed: (entry: ConfigurationEntry) => boolean): void {
		for (const [key, entries] of this._entries) {
			if (entries.length > 1) {
				this._entries.set(key, entries.filter((entry, index) => index === 0 || isUsed(entry)));
			}
		}
	}

	/** Digest of the newest revisions; equal configurations have equal digests. */
	computeDigest(): number {
		let digest = 0;
		for (const [newest] of this._entries.values()) {
			if (newest !== undefined) {
				digest = (digest + computeHash(`${newest.key}@${newest.revision}`)) % digestModulus;
			}
		}

		return digest;
	}
}
