/** How long opening a listener is tried again. */
export enum ListenRetryMode {
	/** For some seconds, and only after errors that can pass: the process can't do its work without this listener. */
	Bounded = 'bounded',
	/** Without end, after any error: the process does its work without this listener. */
	Endless = 'endless',
}
