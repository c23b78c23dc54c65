/** A connection of a caller that writes raw text. */
export type RawConnection = {
	/** All text that was read so far. */
	readonly received: string;
	/** Whether the other side has ended the connection. */
	readonly isEnded: boolean;
	/** Resolves when the connection has closed. */
	readonly closed: Promise<unknown>;
	write(text: string): void;
	destroy(): void;
};
