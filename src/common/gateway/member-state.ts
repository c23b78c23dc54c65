/** State of an instance as seen by the fleet; of two states at one revision the higher takes precedence. */
export enum MemberState {
	Running = 0,
	/** It did not respond; it counts as lost until it publishes a newer record of itself. */
	Lost = 1,
	/** It has shut down as planned. */
	Left = 2,
}
