import {err, ok, type Result} from 'neverthrow';

type KeyHeaders = {
	readonly key: string;
	/** Time since the caller first sent the request, in ms; undefined for a first try. */
	readonly firstSentAgoMs: number | undefined;
};

const keyPattern = /^[\u0021-\u007E]{1,255}$/v;
const millisecondsPattern = /^\d{1,10}$/v;

/**
Reads the headers by which a caller marks the sends of one request; an error says what is wrong.
@param key - Value of the key's header.
@param firstSentAgo - Value of the header that marks a resend.
*/
export const parseKeyHeaders = (key: string, firstSentAgo: string | undefined): Result<KeyHeaders, string> => {
	if (!keyPattern.test(key)) {
		return err('an idempotency key has 1 to 255 visible ASCII characters');
	}

	if (firstSentAgo !== undefined && !millisecondsPattern.test(firstSentAgo)) {
		return err(`"${firstSentAgo.slice(0, 80)}" is not a whole number of ms`);
	}

	return ok({key, firstSentAgoMs: firstSentAgo === undefined ? undefined : Number(firstSentAgo)});
};
