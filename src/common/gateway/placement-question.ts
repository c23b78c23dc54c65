/** A request for which an instance explains where it would send it. */
export type PlacementQuestion = {
	readonly method: string;
	/** Value of the Host header. */
	readonly host: string;
	/** Request target; a query has no effect. */
	readonly path: string;
	/** Size of the body, in bytes. */
	readonly bodyBytes: number;
};
