/** Content of a ping between two instances, and of its response. */
export type PingMessage = {
	readonly id: string;
	readonly incarnation: number;
	readonly sequence: number;
	/** Digest of the sender's view of the members. */
	readonly members: number;
	/** Digest of the sender's newest configuration revisions. */
	readonly configuration: number;
};
