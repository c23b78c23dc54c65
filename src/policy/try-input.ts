/** What can happen to one try of a request. */
export enum TryInput {
	/** A connection is asked for. */
	Connect = 'connect',
	/** No connection was had, or the try was given up before a byte was handed to one. */
	GiveUp = 'give-up',
	/** The request is handed to a connection; from here on bytes may reach the target. */
	Dispatch = 'dispatch',
	/** The connection proved that it wrote no byte. */
	Unwritten = 'unwritten',
	/** The target refused in a way that its template declares as not run. */
	Refused = 'refused',
	/** The head of the answer arrived. */
	AnswerStarted = 'answer-started',
	/** The answer arrived whole. */
	AnswerWhole = 'answer-whole',
	/** The connection was lost, the answer cut or the try cancelled. */
	Lost = 'lost',
}
