import {computeHash} from '../compute-hash.js';
import type {ConfigurationEntry} from './configuration-entry.js';
import {OfferResult} from './offer-result.js';

const digestModulus = 2 ** 32;

/**
Stores the newest revision of each configuration key, and older revisions while an active service depends on them. A
revision never replaces a newer one, whatever its source.
*/
export class RevisionStore {
	private readonly _entries = new Map<string, ConfigurationEntry[]>();

	/** All known keys, including deleted ones. */
	get keys(): readonly string[] {
		return [...this._entries.keys()];
	}

	/** Stores a revision if it is newer than all known revisions of its key. */
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

	/** Adds an older revision, for a service that cannot be rendered from the newest one. */
	addOlder(entry: ConfigurationEntry): void {
		const known = this._entries.get(entry.key) ?? [];
		if (known.every(({revision}) => revision !== entry.revision)) {
			this._entries.set(entry.key, [...known, entry].sort((a, b) => b.revision - a.revision));
		}
	}

	getNewest(key: string): ConfigurationEntry | undefined {
		return this._entries.get(key)?.[0];
	}

	/** Lists the stored revisions of a key, newest first. */
	listRevisions(key: string): readonly ConfigurationEntry[] {
		return this._entries.get(key) ?? [];
	}

	/** Lists all stored revisions. */
	listEntries(): ConfigurationEntry[] {
		return [...this._entries.values()].flat();
	}

	/** Removes the older revisions that are not in use. */
	discardUnused(isUsed: (entry: ConfigurationEntry) => boolean): void {
		for (const [key, entries] of this._entries) {
			if (entries.length > 1) {
				this._entries.set(key, entries.filter((entry, index) => index === 0 || isUsed(entry)));
			}
		}
	}

	/** Computes a digest of the newest revisions; equal configurations have equal digests. */
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
