/** Faults that the fault proxy injects. */
export enum ProxyFaultKind {
	/** New connections are refused; open ones continue to work. */
	Refuse = 'refuse',
	/** New connections are reset once accepted; open ones are reset immediately. */
	Reset = 'reset',
	/** Each chunk on a new connection is delayed, in both directions. */
	Delay = 'delay',
	/** Each new connection is closed after a given number of response bytes. */
	Truncate = 'cut',
	/** New connections are accepted and all bytes on them are discarded. */
	Blackhole = 'swallow',
}
