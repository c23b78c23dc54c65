/** What this instance believes of an entry instance. */
export enum MemberState {
	Alive = 'alive',
	Suspect = 'suspect',
	Leaving = 'leaving',
	Dead = 'dead',
}
