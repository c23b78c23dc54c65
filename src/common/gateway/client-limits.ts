/** What all clients together may make an instance hold. */
export type ClientLimits = {
	/** Memory of heads, bodies and responses, in bytes. */
	readonly memoryBytes: number;
	/** Open connections over all listeners. */
	readonly connections: number;
	/** Requests in progress on one connection. */
	readonly requestsPerConnection: number;
};
