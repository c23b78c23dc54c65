/** What one gateway instance says of itself, with the order in which it said so. */
export type GatewayMember = {
	readonly id: string;
	readonly failureDomain: string;
	/** Address for callers, as host:port. */
	readonly dataAddress: string;
	/** Address for peers, as host:port. */
	readonly peerAddress: string;
	/** Start of the process, in ms since the epoch; a replaced instance has a greater one. */
	readonly incarnation: number;
	/** Grows with each round of the instance. */
	readonly counter: number;
	/** True while the instance serves callers and is not stopping. */
	readonly isServing: boolean;
	/** False while the instance's reads of the registry fail. */
	readonly canRead: boolean;
};
