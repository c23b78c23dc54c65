/** Result of offering a revision to the store. */
export enum OfferResult {
	/** It is newer than all known revisions of the key and was stored. */
	Newer = 'newer',
	/** It is already stored. */
	Known = 'known',
	/** It is older than the newest one and never replaces it. */
	Older = 'older',
	/** It has the same number as the newest revision, but another value. */
	Conflict = 'conflict',
}
