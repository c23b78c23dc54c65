import {ListenRetryMode} from './listen-retry-mode.js';

type ListenFailure = {
	readonly mode: ListenRetryMode;
	/** Code of the system's error, such as `EADDRINUSE`; undefined for an error without one. */
	readonly code: string | undefined;
	/** Tries that have failed, including this one. */
	readonly failedCount: number;
	/** Time since the first try began, in ms. */
	readonly elapsedMs: number;
};

/** Errors that pass by themselves: a predecessor or neighbour lets go of the address, an interface comes up, descriptors or memory become free. */
const passingCodes: ReadonlySet<string> = new Set(['EADDRINUSE', 'EADDRNOTAVAIL', 'EMFILE', 'ENFILE', 'ENOBUFS', 'ENOMEM', 'ENETDOWN', 'EAGAIN']);
/** Time after which bounded tries end, in ms: some times that for which systems hold the address of a process that has ended. */
const boundMs = 8000;
const firstPauseMs = 50;
const maxBoundedPauseMs = 400;
const maxEndlessPauseMs = 30_000;

const computePauseMs = (failedCount: number, maxPauseMs: number): number => Math.min(maxPauseMs, firstPauseMs * (2 ** (failedCount - 1)));

/** Plans what follows a failed try to open a listener: the pause before the next try in ms, or undefined when it is given up. */
export const planListenRetry = ({mode, code, failedCount, elapsedMs}: ListenFailure): number | undefined => {
	switch (mode) {
		case ListenRetryMode.Bounded: {
			const pauseMs = computePauseMs(failedCount, maxBoundedPauseMs);
			return code !== undefined && passingCodes.has(code) && elapsedMs + pauseMs <= boundMs ? pauseMs : undefined;
		}

		case ListenRetryMode.Endless: {
			return computePauseMs(failedCount, maxEndlessPauseMs);
		}
	}
};
