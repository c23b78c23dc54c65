/** How a replica of the stand-in platform is out of service. */
export enum PlatformOutage {
	None = 'none',
	/** Connections are refused. */
	Refuse = 'refuse',
	/** Calls are accepted and never answered. */
	Hang = 'hang',
}
