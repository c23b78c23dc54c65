/** Memory that the buffered response of one attempt takes, within the limit of all responses together. */
export type ResponseHold = {
	/** Bytes that are held. */
	readonly bytes: number;
	/** Sets the number of bytes held; false when they exceed the limit and no larger response can be given up for them. Nothing is changed then. */
	resize(bytes: number): boolean;
	/**
	Changes when and how the response is given up while another one needs its memory.
	@param evictableAt - Time from which it may be given up, in ms.
	@param handleEviction - Ends the response; its memory is released before.
	*/
	setEviction(evictableAt: number, handleEviction: () => void): void;
	/** Releases the memory; later calls have no effect. */
	release(): void;
};
