/** What became of an offered revision. */
export enum OfferResult {
	/** It is newer than any known one and was taken. */
	Newer = 'newer',
	/** It is known. */
	Known = 'known',
	/** It is older than the newest; it is never put in force over it. */
	Older = 'older',
	/** It has the revision of the newest, but another text. */
	Conflict = 'conflict',
}
