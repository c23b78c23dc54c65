/** How a stand-in target reports its load. */
export enum ReportMode {
	Honest = 'honest',
	/** The report as it was when the mode was set. */
	Frozen = 'frozen',
	/** Busy when idle and idle when busy. */
	Inverted = 'inverted',
	/** The report of some time ago. */
	Delayed = 'delayed',
}
