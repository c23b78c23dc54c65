/** A state of the registry. A restored registry uses revisions again, so they are compared within an era only. */
export type StorePosition = {
	/** Number of times that the registry was restored; 0 when it does not tell. */
	readonly era: number;
	/** Number of its last change; 0 while none is known. */
	readonly revision: number;
};
