/** A bound of an experiment and the value measured for it. */
export type CheckResult = {
	readonly name: string;
	/** The bound as text, such as `<= 0.81 ms`. */
	readonly target: string;
	readonly value: number;
	readonly holds: boolean;
};
