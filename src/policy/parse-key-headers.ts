import {err, ok, type Result} from 'neverthrow';

type KeyHeaders = {
	readonly key: string;
	/** Time since the caller first sent the request, in ms; undefined when it sends the request for the first time. */
	readonly firstSentAgoMs: number | undefined;
};

const keyPattern = /^[\u0021-\u007E]{1,255}$/v;
const millisecondsPattern = /^\d{1,10}$/v;

/**
Parses the headers by which a caller identifies a request that it may send more than once.
@param key - Value of the idempotency key header.
@param firstSentAgo - Value of the header with the time since the first sending, in ms, if any.
@returns The parsed values, or a description of what is malformed.
*/
export const parseKeyHeaders = (key: string, firstSentAgo: string | undefined): Result<KeyHeaders, string> => {
	if (!keyPattern.test(key)) {
		return err('an idempotency key must consist of 1 to 255 visible ASCII characters');
	}

	if (firstSentAgo !== undefined && !millisecondsPattern.test(firstSentAgo)) {
		return err(`"${firstSentAgo.slice(0, 80)}" is not a whole number of ms`);
	}

	return ok({key, firstSentAgoMs: firstSentAgo === undefined ? undefined : Number(firstSentAgo)});
};
