/** A caller's request for the addresses of the gateway instances that serve a host name. */
export type ResolveRequest = {
	/** Host name that the caller sends requests to. */
	readonly host: string;
	/** Failure domain of the caller; empty when unknown. */
	readonly failureDomain: string;
};
