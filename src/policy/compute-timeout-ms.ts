/**
Computes the timeout of a request in ms: the deadline of its rule, or the caller's timeout if that is shorter.
@param ruleMs - Deadline of the rule, in ms.
@param timeoutHeader - Value of the caller's timeout header in ms, if any.
@returns The timeout, or undefined when the header is malformed.
*/
export const computeTimeoutMs = (ruleMs: number, timeoutHeader: string | undefined): number | undefined => {
	if (timeoutHeader === undefined) {
		return ruleMs;
	}

	if (!/^\d{1,9}$/v.test(timeoutHeader)) {
		return undefined;
	}

	return Math.min(ruleMs, Number(timeoutHeader));
};
