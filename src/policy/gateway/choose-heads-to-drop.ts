/** Bytes of an unfinished request head that a connection holds. */
type HeldHead = {readonly bytes: number};

/** Chooses the heads to drop so that the others take at most `limitBytes` together: the largest first, since a sound head is small. */
export const chooseHeadsToDrop = <Head extends HeldHead>(heads: readonly Head[], limitBytes: number): Head[] => {
	let heldBytes = heads.reduce((sum, {bytes}) => sum + bytes, 0);
	const dropped: Head[] = [];
	if (heldBytes <= limitBytes) {
		return dropped;
	}

	for (const head of [...heads].sort((a, b) => b.bytes - a.bytes)) {
		if (heldBytes <= limitBytes) {
			break;
		}

		heldBytes -= head.bytes;
		dropped.push(head);
	}

	return dropped;
};
