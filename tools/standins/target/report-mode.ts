/** How a stand-in target reports its load. */
export enum ReportMode {
	/** The true load. */
	Honest = 'honest',
	/** The load at the time when the mode was set. */
	Frozen = 'frozen',
	/** Busy when idle, idle when busy. */
	Inverted = 'inverted',
	/** The load of some time ago. */
	Delayed = 'delayed',
}
