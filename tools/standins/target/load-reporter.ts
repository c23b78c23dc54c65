import type {LoadReport} from '../../../src/common/load-report.js';
import {ReportMode} from './report-mode.js';

type Snapshot = {readonly at: number; readonly report: LoadReport};

const idleReport: LoadReport = {inFlight: 0, queued: 0, draining: false};
const historyLimit = 20_000;

/** Turns the true load of a stand-in target into what it reports. */
export class LoadReporter {
	private readonly _history: Snapshot[] = [];
	private _frozen: LoadReport = idleReport;

	/** @param _slots - Slots of the target. */
	constructor(private readonly _slots: number) {}

	/** Records the true load at a time in ms; call it at each change. */
	recordLoad(report: LoadReport, now: number): void {
		this._history.push({at: now, report});
		if (this._history.length > historyLimit) {
			this._history.splice(0, historyLimit / 2);
		}
	}

	/** Keeps the present report for mode `Frozen`. */
	updateFrozen(): void {
		this._frozen = this._getLatest();
	}

	/** Computes the report that a caller sees. */
	computeReport(mode: ReportMode, delayMs: number, now: number): LoadReport {
		const latest = this._getLatest();
		switch (mode) {
			case ReportMode.Honest: {
				return latest;
			}

			case ReportMode.Frozen: {
				return this._frozen;
			}

			case ReportMode.Inverted: {
				return {inFlight: Math.max(0, this._slots - latest.inFlight), queued: latest.queued > 0 ? 0 : this._slots, draining: latest.draining};
			}

			case ReportMode.Delayed: {
				return this._history.findLast(item => item.at <= now - delayMs)?.report ?? idleReport;
			}
		}
	}

	private _getLatest(): LoadReport {
		return this._history.at(-1)?.report ?? idleReport;
	}
}
