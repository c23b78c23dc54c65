/** What the fleet believes of an instance. */
export enum MemberState {
	Running = 0,
	/** It did not answer; unless it says otherwise it counts as lost. */
	Lost = 1,
	/** It has ended as planned. */
	Left = 2,
}
