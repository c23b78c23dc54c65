/** Times at which a request arrived and was read. */
export type Arrival = {
	/** Arrival of the request head by the instance's clock, in ms. */
	readonly receivedAt: number;
	/** Time at which the head was read, in ms; later than its arrival when the process was paused in between. */
	readonly readAt: number;
};
