import process from 'node:process';

/** Receives signals of the process from its creation on, and keeps them until it is told where to forward them. */
export class SignalInbox {
	private readonly _kept: NodeJS.Signals[] = [];
	private _handle: ((signal: NodeJS.Signals) => void) | undefined;

	constructor(signals: readonly NodeJS.Signals[]) {
		for (const signal of signals) {
			process.on(signal, () => {
				if (this._handle === undefined) {
					this._kept.push(signal);
				} else {
					this._handle(signal);
				}
			});
		}
	}

	/** Forwards the signals kept so far, in the order of their arrival, and all later ones at once. */
	forwardTo(handle: (signal: NodeJS.Signals) => void): void {
		this._handle = handle;
		for (const signal of this._kept.splice(0)) {
			handle(signal);
		}
	}
}
