/** An instance that announces a newer configuration than the active one. */
export type ConfigurationHolder = {
	readonly id: string;
	/** Start time of the instance's process; what was known of an earlier process does not apply. */
	readonly incarnation: number;
	/** Address for peers, as host:port. */
	readonly peerAddress: string;
	/** Version of the configuration that it announces. */
	readonly announcedVersion: number;
};
