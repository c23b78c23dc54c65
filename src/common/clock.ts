/** Monotonic time source in milliseconds, with fractions; its origin is arbitrary. */
export type Clock = {
	now(): number;
};
