/** A member's record as its values in turn; names of fields would double its bytes, and each instance sends it several times a second. */
export type EncodedMember = readonly [
	id: string,
	failureDomain: string,
	dataAddress: string,
	peerAddress: string,
	incarnation: number,
	counter: number,
	isServing: boolean,
	canRead: boolean,
];
