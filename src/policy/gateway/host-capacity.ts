/** A host name and the capacity of the targets behind it. */
export type HostCapacity = {
	readonly name: string;
	/** Maximum number of requests that the targets run concurrently. */
	readonly slots: number;
};
