/** How a replica of the stand-in configuration service is unavailable. */
export enum PlatformOutage {
	None = 'none',
	/** Connections are refused. */
	Refuse = 'refuse',
	/** Calls are accepted but receive no response. */
	Hang = 'hang',
}
