import {SignalInbox} from '../io/signal-inbox.js';

/** Signals that an entry handles. The program imports this before it loads anything else: a signal that arrives meanwhile would end the process. */
export const entrySignals = new SignalInbox(['SIGTERM', 'SIGINT', 'SIGHUP']);
