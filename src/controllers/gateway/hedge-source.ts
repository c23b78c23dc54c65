import type {HedgeOffer} from './hedge-offer.js';
import type {HedgeRequest} from './hedge-request.js';

/** Decides when requests are hedged and grants the slots for it. */
export type HedgeSource = {
	/** Whether no request is hedged. */
	readonly isOff: boolean;
	/** Counts a request of a service, hedged or not. */
	addRequest(service: string): void;
	/** Returns the time after the start of a request at which to ask for a hedge, in ms; undefined when it counts from its placement. */
	getStartDelayMs(objectiveMs: number): number | undefined;
	/** Notes that the first attempt of a request got a slot; returns the time after which to ask for a hedge, in ms, or undefined when it counts from the start. */
	notePlaced(request: HedgeRequest): number | undefined;
	/** Takes a slot at an idle target and a hedge from all limits, without waiting. */
	tryAcquire(request: HedgeRequest): Promise<HedgeOffer>;
	/**
	Records the first attempt at its end.
	@param isComplete - Whether it succeeded; otherwise its duration is only known to be longer than until now.
	*/
	recordFirstEnd(request: HedgeRequest, isComplete: boolean): void;
	/** Counts a hedge that was sent, or its end. */
	countHedge(service: string, result: 'sent' | 'won' | 'lost' | 'cancelled'): void;
};
