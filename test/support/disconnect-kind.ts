/** How a caller disconnects: it ends its side of the stream, closes the connection or resets it. */
export enum DisconnectKind {
	End = 'end',
	Close = 'close',
	Reset = 'reset',
}
