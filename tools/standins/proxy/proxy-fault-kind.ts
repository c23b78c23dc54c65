/** Faults that the fault proxy injects. */
export enum ProxyFaultKind {
	/** New connections are refused; open ones go on. */
	Refuse = 'refuse',
	/** New connections are reset after they were accepted; open ones are reset at once. */
	Reset = 'reset',
	/** Bytes arrive late, in both directions. */
	Delay = 'delay',
	/** Each new connection is closed after so many bytes of answers. */
	Cut = 'cut',
	/** New connections are accepted and every byte on them is swallowed. */
	Swallow = 'swallow',
}
