/** Tag names and values. */
type Tags = Readonly<Record<string, string>>;

/** Sends metrics; never blocks and never fails. */
export type Metrics = {
	countEvent(name: string, tags?: Tags, amount?: number): void;
	recordGauge(name: string, value: number, tags?: Tags): void;
	/** Records a duration in ms. */
	recordDuration(name: string, durationMs: number, tags?: Tags): void;
};
