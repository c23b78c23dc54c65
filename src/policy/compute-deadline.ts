/**
Computes a request's time allowance in ms: the rule's deadline, or less where the caller asks for less.
@param ruleMs - Deadline of the rule.
@param header - Value of the caller's timeout header in ms, if any; a malformed value is refused by undefined.
*/
export const computeDeadline = (ruleMs: number, header: string | undefined): number | undefined => {
	if (header === undefined) {
		return ruleMs;
	}

	if (!/^\d{1,9}$/v.test(header)) {
		return undefined;
	}

	return Math.min(ruleMs, Number(header));
};
