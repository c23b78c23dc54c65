/** A host name and the size of what stands behind it. */
export type HostSize = {
	readonly name: string;
	/** Requests that the targets behind it run at the same time. */
	readonly slots: number;
};
