import {validateHeaderName, validateHeaderValue} from 'node:http';

type ResponseHead = {
	readonly status: number;
	/** Alternating names and values, as received. */
	readonly rawHeaders: readonly string[];
};

/** Final statuses (RFC 9110, section 15). */
const minFinalStatus = 200;
const maxFinalStatus = 599;

/**
Checks that the head of a target's response can be passed on. The parser of Node.js accepts more than its writer does.
@returns What is wrong with the head; undefined when it is valid.
*/
export const checkResponseHead = ({status, rawHeaders}: ResponseHead): string | undefined => {
	if (status < minFinalStatus || status > maxFinalStatus) {
		return `the status ${status} is not one of a final response`;
	}

	for (let index = 0; index < rawHeaders.length; index += 2) {
		const name = rawHeaders[index] ?? '';
		try {
			validateHeaderName(name);
			validateHeaderValue(name, rawHeaders[index + 1] ?? '');
		} catch (error) {
			return (error as Error).message;
		}
	}

	return undefined;
};
