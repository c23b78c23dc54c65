/** Host names that share services, directly or through others, and the capacity of the targets behind them. */
export type HostGroup = {
	/** First of the host names in alphabetical order. */
	readonly name: string;
	readonly hosts: readonly string[];
	readonly services: readonly string[];
	/** Maximum number of requests that the targets run concurrently. */
	readonly slots: number;
};
