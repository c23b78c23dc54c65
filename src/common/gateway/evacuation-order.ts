/** What orders sets of evacuations: the one with the higher era is newer, within an era the one with the higher revision. */
export type EvacuationOrder = {
	/** Number of times that the registry was restored before the set was read; 0 when the registry does not tell. */
	readonly era: number;
	/** Registry revision at which the set was read; 0 while none is known. */
	readonly revision: number;
};
