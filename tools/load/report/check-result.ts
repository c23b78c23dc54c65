/** One target of an experiment and what was measured. */
export type CheckResult = {
	readonly name: string;
	/** The bound in words, such as `<= 0.81 ms`. */
	readonly target: string;
	readonly value: number;
	readonly holds: boolean;
};
