/** State of an entry instance as seen by this instance. */
export enum MemberState {
	Alive = 'alive',
	Suspect = 'suspect',
	Leaving = 'leaving',
	Dead = 'dead',
}
