import {inspect} from 'node:util';

type Failure = {readonly detail: string; readonly stack?: string};

/** Largest length of each text, in characters. */
const maxLength = 4000;

const describeText = (read: () => string): string => {
	try {
		return read().slice(0, maxLength);
	} catch (error) {
		return `not readable: ${typeof error}`;
	}
};

/** Describes a value that was thrown, which may be of any type, and whose properties may throw in turn. */
export const describeFailure = (value: unknown): Failure => {
	const isError = value instanceof Error;
	const detail = describeText(() => isError ? value.message : inspect(value, {depth: 1, breakLength: Number.POSITIVE_INFINITY}));
	return isError ? {detail, stack: describeText(() => String(value.stack))} : {detail};
};
