/** How the start of a daemon ended, unless it failed. */
export enum StartEnd {
	Started = 'started',
	/** A signal to stop came first. */
	Stopped = 'stopped',
}
