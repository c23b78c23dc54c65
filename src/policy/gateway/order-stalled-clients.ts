import type {ClientState} from './client-state.js';

/** Checks in a row without progress after which a connection counts as stalled; a second at four checks a second. */
const minStalledChecks = 4;

/**
Lists the connections that are to be closed when a budget is short, in this order: the one that holds most goes first, then the one that stalled
first. Idle connections come last, since sound callers keep some. Those that make progress, or for which a target is at work, are not among them.
*/
export const orderStalledClients = <Client extends ClientState>(clients: Iterable<Client>): Client[] => [...clients]
	.filter(({stalledChecks}) => stalledChecks >= minStalledChecks)
	.sort((a, b) => Number(a.isIdle) - Number(b.isIdle) || b.heldBytes - a.heldBytes || b.stalledChecks - a.stalledChecks);
