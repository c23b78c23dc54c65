import type {LoadReport} from '../../../src/common/load-report.js';
import {ReportMode} from './report-mode.js';

type Snapshot = {readonly at: number; readonly report: LoadReport};

const idleReport: LoadReport = {inFlight: 0, queued: 0, draining: false};
const maxHistoryLength = 20_000;

/** Derives the load report of a stand-in target from its true load and its report mode. */
export class LoadReporter {
	private readonly _history: Snapshot[] = [];
	private _frozenReport: LoadReport = idleReport;

	/** @param _slots - Number of slots of the target. */
	constructor(private readonly _slots: number) {}

	/** Records the true load at a time in ms; must be called at each change. */
	recordLoad(report: LoadReport, now: number): void {
		this._history.push({at: now, report});
		if (this._history.length > maxHistoryLength) {
			this._history.splice(0, maxHistoryLength / 2);
		}
	}

	/** Captures the current load as the report of mode `Frozen`. */
	captureFrozenReport(): void {
		this._frozenReport = this._getLatest();
	}

	/** Computes the report to send at a time in ms; `delayMs` is the age of the reports of mode `Delayed`. */
	computeReport(mode: ReportMode, delayMs: number, now: number): LoadReport {
		const latest = this._getLatest();
		switch (mode) {
			case ReportMode.Honest: {
				return latest;
			}

			case ReportMode.Frozen: {
				return this._frozenReport;
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
