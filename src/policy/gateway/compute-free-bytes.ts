type MemoryDemand = {
	/** Budget of all clients, in bytes. */
	readonly budgetBytes: number;
	/** Part of the budget that nobody holds, in bytes. */
	readonly unusedBytes: number;
	/** Whether the process has much memory resident. */
	readonly isResidentHigh: boolean;
	/** Memory that the connection holds, in bytes. */
	readonly heldBytes: number;
	/** Memory that the connection asks for in addition, in bytes. */
	readonly askedBytes: number;
};

/** Share of the budget that remains while much memory is resident, so that ordinary callers are served also when the memory isn't returned. */
const shrunkShare = 0.25;
/** Share of the budget that only connections with little memory may take, so that bodies leave room for the requests of peers and ordinary callers. */
const reservedShare = 0.05;
/** Share of the budget that bodies may take together, unless one of them needs more by itself. Each byte also passes through buffers of sockets and returns in a response. */
const sharedShare = 0.5;
/** Memory up to which a connection counts as one with little, in bytes: an ordinary head, as it counts at most, and a small body. */
const smallRequestBytes = 250_000;
/** Memory from which on a connection is in the middle of a large body, which the shrunk budget does not refuse, in bytes. */
const largeBodyBytes = 1_000_000;

/** Computes how much of the budget a connection may still take, in bytes. */
export const computeFreeBytes = ({budgetBytes, unusedBytes, isResidentHigh, heldBytes, askedBytes}: MemoryDemand): number => {
	const totalBytes = heldBytes + askedBytes;
	if (totalBytes <= Math.min(smallRequestBytes, budgetBytes * reservedShare)) {
		return unusedBytes;
	}

	if (isResidentHigh && heldBytes < largeBodyBytes) {
		return unusedBytes - (budgetBytes * (1 - shrunkShare));
	}

	return unusedBytes - (budgetBytes * (totalBytes > budgetBytes * sharedShare ? reservedShare : sharedShare));
};
