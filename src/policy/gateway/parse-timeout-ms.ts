const timeoutPattern = /^\d+(?:\.\d+)?$/v;

/** Parses a timeout in ms from a header; undefined when it is not a decimal number. */
export const parseTimeoutMs = (value: string | readonly string[]): number | undefined => typeof value === 'string' && timeoutPattern.test(value.trim()) ? Number(value) : undefined;
