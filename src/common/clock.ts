/** Monotonic time source in milliseconds, with fractions; its zero is arbitrary. */
export type Clock = {
	now(): number;
};
